/**
 * Reads the files of one deployment: contracts, node settings and stand-ins.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import { IniDocument } from "@briarhill/common/settings/ini_document";
import { parseIniSection } from "@briarhill/common/settings/ini_section";
import type { ContractStructure } from "@briarhill/contract/contract/contract_structure";
import { parseContract } from "@briarhill/contract/contract/contract_text";
import {
  type NodeSettings,
  parseNodeSettings,
} from "@briarhill/node/settings/node_settings";
import { readdirSync, readFileSync } from "node:fs";
import { z } from "zod";
import type { ContractFile } from "../nodes/publish_contract.ts";

const FIRST_VERSION = 1;

const STAND_INS_SECTION = z.strictObject({
  region: z.string(),
  failure_domains: z.array(z.string()).min(1),
  models: z.array(z.string()).min(1),
  engines: z.coerce.number().int().min(1).max(64),
  services: z.array(z.string()),
  first_port: z.coerce.number().int().min(1024).max(65_000),
  fetches_per_second: z.coerce.number().min(0.1),
});

/** The stand-ins that a deployment runs against. */
export interface DeploymentStandIns {
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly models: Readonly<Record<string, number>>;
  readonly engines: number;
  readonly services: readonly string[];
  readonly firstPort: number;
  readonly fetchesPerSecond: number;
}

/** The files of one deployment. */
export interface DeploymentFiles {
  readonly name: string;
  readonly contractFiles: readonly ContractFile[];
  readonly contracts: readonly ContractStructure[];
  readonly nodes: readonly NodeSettings[];
  readonly standIns: DeploymentStandIns;
}

/**
 * Reads and checks the files of a deployment.
 *
 * @example
 * ```ts
 * const files = readDeployment("agencia");
 * ```
 * @param name - The name of the folder in `examples`.
 */
export function readDeployment(name: string): DeploymentFiles {
  const folder = new URL(`../../../../../examples/${name}/`, import.meta.url);
  const contractFiles = readFolder(new URL("contracts/", folder));
  return {
    name,
    contractFiles,
    contracts: contractFiles.map(({ file, text }) => parseContract(file, text)),
    nodes: readFolder(new URL("nodes/", folder))
      .map(({ file, text }) => parseNodeSettings(file, text)),
    standIns: readStandIns(new URL("standins.ini", folder)),
  };
}

function readFolder(folder: URL): readonly ContractFile[] {
  return readdirSync(folder).sort().map((file) => ({
    file,
    text: readFileSync(new URL(file, folder), "utf8"),
  }));
}

function readStandIns(file: URL): DeploymentStandIns {
  const document = IniDocument.parse(
    "standins.ini",
    readFileSync(file, "utf8"),
  );
  const section = parseIniSection(document, {
    section: "standins",
    schema: STAND_INS_SECTION,
    errorClass: SettingsError,
  });
  return {
    region: section.region,
    failureDomains: section.failure_domains,
    models: Object.fromEntries(
      section.models.map((model) => [model, FIRST_VERSION]),
    ),
    engines: section.engines,
    services: section.services,
    firstPort: section.first_port,
    fetchesPerSecond: section.fetches_per_second,
  };
}
