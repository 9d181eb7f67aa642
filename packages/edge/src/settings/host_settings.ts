/**
 * The settings of one host, from its INI file.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { IniDocument } from "@briarhill/common/settings/ini_document";

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65_535;
const BYTES_PER_MB = 1_048_576;

/** The settings of one host. */
export interface HostSettings {
  readonly host: string;
  readonly failureDomain: string;
  readonly ip: string;
  /** The processor time of this host, in cores. */
  readonly cores: number;
  /** The memory that this process may use, in bytes. */
  readonly memoryBytes: number;
  /** Where callers connect. */
  readonly callers: HttpAddress;
  /** Where the balancer asks whether this host is ready. */
  readonly health: HttpAddress;
  /** Where other hosts connect. */
  readonly peers: HttpAddress;
  /** Where metrics are read. */
  readonly metrics: HttpAddress;
  /** The IP addresses of a few hosts, which may be stale. */
  readonly seeds: readonly string[];
  readonly store: HttpAddress;
  /** The partitions of each of our topics. */
  readonly storePartitions: number;
  /** The most bytes of one record. */
  readonly recordBytes: number;
  /** The shortest time that a silent member keeps its partitions, in milliseconds. */
  readonly groupTtlMinMs: number;
  /** How long a stop may take, in milliseconds. */
  readonly graceMs: number;
  /** The least time between orders of two hosts to one engine, in milliseconds. */
  readonly orderTurnMs: number;
  /** How long after its hand-in a lot can be read, in milliseconds. */
  readonly lotLifeMs: number;
}

/**
 * Parses the settings of one host. A fault is a {@link SettingsError} that
 * names file, line, section, key, value and what was expected; unknown keys
 * are ignored.
 *
 * @example
 * ```ts
 * import { readFileSync } from "node:fs";
 *
 * const { host } = parseHostSettings("host.ini", readFileSync("host.ini", "utf8"));
 * ```
 * @param file - The file's name, used in messages.
 * @param text - The INI text.
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
    orderTurnMs: values.getNumber("bounds", "lease_ms"),
    lotLifeMs: 1_000 * values.getNumber("bounds", "status_s"),
  };
}

class SettingReader {
  readonly #document: IniDocument;

  constructor(document: IniDocument) {
    this.#document = document;
  }

  getText(section: string, key: string): string {
    const value = this.#document.getSection(section)?.[key];
    if (typeof value !== "string" || value === "") {
      throw this.#createError(section, key, "a text");
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
      throw this.#createError(section, key, "a whole number");
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

  /** A list may be empty, and an entry that is no address is passed over. */
  listHosts(section: string, key: string): readonly string[] {
    const value = this.#document.getSection(section)?.[key];
    return (typeof value === "string" ? value : "").split(",")
      .map((text) => ADDRESS.exec(text.trim())?.[1])
      .filter((hostname) => hostname !== undefined);
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
