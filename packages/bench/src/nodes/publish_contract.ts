/**
 * Publishes contracts on a log, as the operator's command does.
 * @module
 */
import { IniDocument } from "@briarhill/common/settings/ini_document";
import { parseContract } from "@briarhill/contract/contract/contract_text";
import { toSectionSource } from "@briarhill/contract/contract/section_source";
import {
  CONFIGURATION_STREAM,
  encodeConfigurationRecord,
  NO_REVISION,
} from "@briarhill/control/configuration/configuration_record";
import type { LogService } from "@briarhill/ports/log/log_service";

/** The file of a contract. */
export interface ContractFile {
  readonly file: string;
  readonly text: string;
}

/**
 * Publishes a customer's first contract, or one that replaces it, and returns
 * its revision.
 *
 * @example
 * ```ts
 * await publishContract(standIns.log, { file: "agencia.ini", text });
 * ```
 * @param log - The platform's log.
 * @param contract - The contract's file, and the revision that it replaces.
 */
export async function publishContract(
  log: LogService,
  contract: ContractFile & { readonly basedOn?: number },
): Promise<number> {
  const { file, text, basedOn = NO_REVISION } = contract;
  const { customer } = parseContract(file, text);
  const { sections } = toSectionSource(IniDocument.parse(file, text));
  const record = encodeConfigurationRecord({
    kind: "contract",
    writer: "bench",
    session: customer,
    sequence: basedOn + 1,
    basedOn,
    customer,
    sections: JSON.parse(JSON.stringify(sections)),
  });
  return await log.append(CONFIGURATION_STREAM, record);
}
