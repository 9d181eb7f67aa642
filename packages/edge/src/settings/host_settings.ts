/**
 * Parses the settings of one host from its INI file. The names of sections and
 * keys are part of the deployment interface and must not change.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { IniDocument } from "@briarhill/common/settings/ini_document";

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65_535;
const BYTES_PER_MB = 1_048_576;

/** The settings of the platform's API and of the duties towards it. */
export interface CloudSettings {
  readonly address: HttpAddress;
  /** The names of the duties that the platform expects. */
  readonly duties: readonly string[];
  /** Maximum rate of calls from all hosts together, per second. */
  readonly callsPerS: number;
  /** Duration of a window of the usage reports, in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due, in milliseconds. */
  readonly reportDueMs: number;
}

/** The settings of one host. */
export interface HostSettings {
  readonly host: string;
  readonly failureDomain: string;
  readonly ip: string;
  /** The CPU time available to this host, in cores. */
  readonly cores: number;
  /** Memory limit of this process, in bytes. */
  readonly memoryBytes: number;
  /** The address that callers connect to. */
  readonly callers: HttpAddress;
  /** The address of the load balancer's readiness probe. */
  readonly health: HttpAddress;
  /** The address that other hosts connect to. */
  readonly peers: HttpAddress;
  /** The address that serves the metrics. */
  readonly metrics: HttpAddress;
  /** The IP addresses of some hosts; may be stale. */
  readonly seeds: readonly string[];
  readonly store: HttpAddress;
  /** Number of partitions of each topic that the hosts write. */
  readonly storePartitions: number;
  /** Maximum size of one record, in bytes. */
  readonly recordBytes: number;
  /**
   * Minimum time that a silent member of a group retains its partitions, in
   * milliseconds.
   */
  readonly groupTtlMinMs: number;
  /** Maximum duration of a graceful stop, in milliseconds. */
  readonly graceMs: number;
  /** Minimum time between orders of two hosts to the same engine, in milliseconds. */
  readonly minOrderIntervalMs: number;
  /** Time after its submission for which a lot can be read, in milliseconds. */
  readonly lotRetentionMs: number;
  /** Undefined where the platform has no API. */
  readonly cloud: CloudSettings | undefined;
  /** The time within which a removed key has to be refused, in milliseconds; Infinity if there is no bound. */
  readonly revocationMs: number;
  /** Whether keys are refused while this host can't tell whether they were removed. */
  readonly isFailClosed: boolean;
}

/**
 * Parses the settings of one host. Throws a {@link SettingsError} that names the
 * file, line, section, key, value and expected type; unknown keys are ignored.
 *
 * @example
 * ```ts
 * import { readFileSync } from "node:fs";
 *
 * const { host } = parseHostSettings("host.ini", readFileSync("host.ini", "utf8"));
 * ```
 * @param file - The file name, used in error messages.
 * @param text - The contents of the INI file.
 */
export function parseHostSettings(file: string, text: string): HostSettings {
  const values = new SettingReader(IniDocument.parse(file, text));
  return {
    host: values.getText("host", "name"),
    failureDomain: values.getText("host", "failure_domain"),
    ip: values.getText("host", "ip"),
    cores: values.getNumber("host", "cores"),
    memoryBytes: BYTES_PER_MB * values.getNumber("host", "memory_mb"),
    callers: values.getAddress("listen", "callers"),
    health: values.getAddress("listen", "health"),
    peers: values.getAddress("listen", "peers"),
    metrics: values.getAddress("listen", "metrics"),
    seeds: values.listHosts("listen", "seeds"),
    store: values.getAddress("store", "address"),
    storePartitions: values.getInteger("store", "partitions"),
    recordBytes: values.getInteger("store", "record_bytes"),
    groupTtlMinMs: values.getInteger("store", "group_ttl_min_ms"),
    graceMs: 1_000 * values.getNumber("bounds", "grace_s"),
    minOrderIntervalMs: values.getNumber("bounds", "lease_ms"),
    lotRetentionMs: 1_000 * values.getNumber("bounds", "status_s"),
    cloud: values.hasSection("cloud") ? readCloud(values) : undefined,
    revocationMs: values.hasValue("bounds", "revoke_ms")
      ? values.getNumber("bounds", "revoke_ms")
      : Infinity,
    isFailClosed: values.hasValue("bounds", "fail_closed") &&
      values.isTrue("bounds", "fail_closed"),
  };
}

function readCloud(values: SettingReader): CloudSettings {
  return {
    address: values.getAddress("cloud", "address"),
    duties: values.listTexts("cloud", "duties"),
    callsPerS: values.getNumber("cloud", "duty_per_s"),
    windowMs: 1_000 * values.getNumber("cloud", "report_window_s"),
    reportDueMs: 1_000 * values.getNumber("cloud", "usage_late_s"),
  };
}

class SettingReader {
  readonly #document: IniDocument;

  constructor(document: IniDocument) {
    this.#document = document;
  }

  hasSection(section: string): boolean {
    return this.#document.getSection(section) !== undefined;
  }

  hasValue(section: string, key: string): boolean {
    return (this.#document.getSection(section)?.[key] ?? "") !== "";
  }

  isTrue(section: string, key: string): boolean {
    const value = this.getText(section, key);
    if (value !== "true" && value !== "false") {
      throw this.#createError(section, key, "true or false");
    }
    return value === "true";
  }

  getText(section: string, key: string): string {
    const value = this.#document.getSection(section)?.[key];
    if (typeof value !== "string" || value === "") {
      throw this.#createError(section, key, "a non-empty string");
    }
    return value;
  }

  getNumber(section: string, key: string): number {
    const value = Number(this.getText(section, key));
    if (!Number.isFinite(value) || value <= 0) {
      throw this.#createError(section, key, "a number above 0");
    }
    return value;
  }

  getInteger(section: string, key: string): number {
    const value = this.getNumber(section, key);
    if (!Number.isSafeInteger(value)) {
      throw this.#createError(section, key, "an integer");
    }
    return value;
  }

  getAddress(section: string, key: string): HttpAddress {
    const [, hostname, port] = ADDRESS.exec(this.getText(section, key)) ?? [];
    if (hostname === undefined || Number(port) > MAX_PORT) {
      throw this.#createError(section, key, "an address of the form IP:PORT");
    }
    return { hostname, port: Number(port) };
  }

  /**
   * Returns the IP addresses of a list; the list may be empty, and malformed
   * entries are skipped.
   */
  listHosts(section: string, key: string): readonly string[] {
    return this.listTexts(section, key)
      .map((text) => ADDRESS.exec(text)?.[1])
      .filter((hostname) => hostname !== undefined);
  }

  /** Returns the entries of a list, which may be empty. */
  listTexts(section: string, key: string): readonly string[] {
    const value = this.#document.getSection(section)?.[key];
    return (typeof value === "string" ? value : "").split(",")
      .map((text) => text.trim()).filter((text) => text !== "");
  }

  #createError(section: string, key: string, expected: string): SettingsError {
    const { file } = this.#document;
    const line = this.#document.getLine(section, key);
    const value = this.#document.getSection(section)?.[key];
    const found = value === undefined ? "missing" : JSON.stringify(value);
    return new SettingsError(
      `${file}:${line}: [${section}] ${key} is ${found}, expected ${expected}`,
      { props: { file, line, section, key } },
    );
  }
}
