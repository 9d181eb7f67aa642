/**
 * The settings of one node, read from an INI file and checked before anything
 * listens.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import type { FailureDomain, HostId, Region } from "@briarhill/common/ids/ids";
import { IniDocument } from "@briarhill/common/settings/ini_document";
import { parseIniSection } from "@briarhill/common/settings/ini_section";
import { z } from "zod";

/** The settings of one node. */
export interface NodeSettings {
  readonly host: HostId;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  /** The address that serves callers and trainers. */
  readonly callers: ListenAddress;
  /** The address that serves other nodes. */
  readonly peers: ListenAddress;
  /** The address that serves operators and health probes. */
  readonly admin: ListenAddress;
  readonly platform: PlatformSettings;
  /** Peer addresses through which the node joins the others, such as "127.0.0.1:9081". */
  readonly seeds: readonly string[];
  /** Keys shared by all nodes: the first one signs, and signatures of all are accepted. */
  readonly peerKeys: readonly string[];
  /** The timeout of a graceful shutdown. */
  readonly stopTimeoutMs: number;
}

/** An address to listen on; port 0 selects any free port. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** The URLs of the platform's services. */
export interface PlatformSettings {
  readonly log: string;
  readonly hostList: string;
  readonly weightStore: string;
}

const NAME_SCHEMA = z.string().regex(/^[a-z0-9][a-z0-9_.-]{0,63}$/i, {
  message:
    "expected 1 to 64 letters, digits, '_', '.' or '-', starting with a letter or digit",
});
const LISTEN_SCHEMA = z.string().regex(/^[0-9a-f.:[\]]+:\d{1,5}$/i, {
  message: "expected an IP address and a port, such as 127.0.0.1:8080",
}).transform(toListenAddress);
const URL_SCHEMA = z.url({
  protocol: /^https?$/,
  message: "expected an http or https URL, such as http://127.0.0.1:7001",
});

const NODE_SECTION = z.strictObject({
  host: NAME_SCHEMA,
  region: NAME_SCHEMA,
  failure_domain: NAME_SCHEMA,
  callers: LISTEN_SCHEMA,
  peers: LISTEN_SCHEMA,
  admin: LISTEN_SCHEMA,
});

const PLATFORM_SECTION = z.strictObject({
  log: URL_SCHEMA,
  host_list: URL_SCHEMA,
  weight_store: URL_SCHEMA,
});

const PEERS_SECTION = z.strictObject({
  seeds: z.array(z.string()).default([]),
  keys: z.array(z.string().min(16, "expected at least 16 characters")).min(1),
});

const STOP_SECTION = z.strictObject({
  bound_ms: z.coerce.number().int().min(0).max(3_600_000).default(30_000),
});

const KNOWN_SECTIONS = ["node", "platform", "peers", "stop"];

/**
 * Parses and checks the settings of a node.
 *
 * @example
 * ```ts
 * import { readFileSync } from "node:fs";
 *
 * const settings = parseNodeSettings("node.ini", readFileSync("node.ini", "utf8"));
 * ```
 * @param file - The name of the file, used in error messages.
 * @param text - The INI text.
 */
export function parseNodeSettings(file: string, text: string): NodeSettings {
  const document = IniDocument.parse(file, text);
  throwIfUnknownSection(document);
  const readSection = <T extends z.ZodType>(section: string, schema: T) =>
    parseIniSection(document, { section, schema, errorClass: SettingsError });
  const node = readSection("node", NODE_SECTION);
  const platform = readSection("platform", PLATFORM_SECTION);
  const peers = readSection("peers", PEERS_SECTION);
  const stop = readSection("stop", STOP_SECTION);
  return {
    host: node.host,
    region: node.region,
    failureDomain: node.failure_domain,
    callers: node.callers,
    peers: node.peers,
    admin: node.admin,
    platform: {
      log: platform.log,
      hostList: platform.host_list,
      weightStore: platform.weight_store,
    },
    seeds: peers.seeds,
    peerKeys: peers.keys,
    stopTimeoutMs: stop.bound_ms,
  };
}

function toListenAddress(text: string): ListenAddress {
  const colon = text.lastIndexOf(":");
  const address = text.slice(0, colon).replace(/^\[|\]$/g, "");
  return { address, port: Number(text.slice(colon + 1)) };
}

function throwIfUnknownSection(document: IniDocument): void {
  for (const section of document.getSectionNames()) {
    if (!KNOWN_SECTIONS.includes(section)) {
      const line = document.getLine(section);
      throw new SettingsError(
        `${document.file}:${line}: unknown section "${section}", expected one of ${
          KNOWN_SECTIONS.join(", ")
        }`,
        { props: { file: document.file, line, section } },
      );
    }
  }
}
