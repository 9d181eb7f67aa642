/**
 * Tells which software version has begun a stream. Versions are listed in the order
 * of their registration; every version must be registered before the first stream
 * begins at one of its endpoints.
 *
 * A stream at the version that was registered first needs no record of its own: a
 * stream without a record can only have begun there, as streams at all other
 * versions are recorded before their first event leaves.
 * @module
 */

/** A software version of a service. */
export interface ServiceVersion {
  readonly service: string;
  readonly version: string;
}

interface RegisteredVersion extends ServiceVersion {
  readonly offset: number;
}

const SEPARATOR = "|";

/** The software versions at which streams may have begun. */
export class VersionRegistry {
  readonly #versions = new Map<string, RegisteredVersion>();

  /**
   * Adds a version; one that is already registered keeps its place.
   *
   * @param version - The version.
   * @param offset - The offset of its record in the shared log.
   */
  addVersion(version: ServiceVersion, offset: number): void {
    const key = formatVersionKey(version);
    if (!this.#versions.has(key)) {
      this.#versions.set(key, { ...version, offset });
    }
  }

  /**
   * Removes a version whose streams have all ended.
   *
   * @param key - The key of its record.
   */
  removeVersion(key: string): void {
    this.#versions.delete(key);
  }

  /** Removes all versions, before a complete list is applied. */
  clear(): void {
    this.#versions.clear();
  }

  /**
   * Returns whether a version is registered.
   *
   * @param version - The version.
   */
  hasVersion(version: ServiceVersion): boolean {
    return this.#versions.has(formatVersionKey(version));
  }

  /** Returns all versions, in no order. */
  listAll(): readonly ServiceVersion[] {
    return [...this.#versions.values()];
  }

  /**
   * Returns the versions of services in the order of their registration.
   *
   * @param services - The names of the services.
   */
  listVersions(services: readonly string[]): readonly ServiceVersion[] {
    return [...this.#versions.values()]
      .filter(({ service }) => services.includes(service))
      .toSorted((first, second) => first.offset - second.offset)
      .map(({ service, version }) => ({ service, version }));
  }

  /**
   * Returns whether a stream needs a record if it begins at a version.
   *
   * @param version - The version at which it begins.
   * @param services - The services at which it could have begun.
   */
  isRecordNeeded(
    version: ServiceVersion,
    services: readonly string[],
  ): boolean {
    const [first] = this.listVersions(services);
    return first === undefined || !isSameVersion(first, version);
  }

  /**
   * Returns the version at which a stream without a record has begun, or undefined if it is not known.
   *
   * @param services - The services at which it could have begun.
   */
  getUnrecordedOrigin(services: readonly string[]): ServiceVersion | undefined {
    return this.listVersions(services)[0];
  }
}

/**
 * Returns whether two versions are the same.
 *
 * @example
 * ```ts
 * const version = { service: "s", version: "v1" };
 *
 * const isSame = isSameVersion(version, { service: "s", version: "v2" });
 * ```
 * @param first - A version.
 * @param second - Another version.
 */
export function isSameVersion(
  first: ServiceVersion,
  second: ServiceVersion,
): boolean {
  return first.service === second.service && first.version === second.version;
}

/**
 * Formats the key of a version's record.
 *
 * @example
 * ```ts
 * const key = formatVersionKey({ service: "s", version: "v1" });
 * ```
 * @param version - The version.
 */
export function formatVersionKey(
  { service, version }: ServiceVersion,
): string {
  return `${service}${SEPARATOR}${version}`;
}

/**
 * Parses the key of a version's record.
 *
 * @example
 * ```ts
 * const { service } = parseVersionKey("s|v1");
 * ```
 * @param key - The key.
 */
export function parseVersionKey(key: string): ServiceVersion {
  const index = key.indexOf(SEPARATOR);
  return { service: key.slice(0, index), version: key.slice(index + 1) };
}
