/**
 * The command `contract history`.
 * @module
 */
import type { RecordVerdict } from "@briarhill/control/configuration/configuration_fold";
import {
  decodeConfigurationRecord,
  getSubject,
} from "@briarhill/control/configuration/configuration_record";
import type { LogRecord } from "@briarhill/ports/log/log_service";
import { Command, Option } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { ConfigurationReader } from "../operator/configuration_reader.ts";

/** One line of the history; the field names are part of the JSON output. */
interface HistoryRow {
  readonly offset: number;
  readonly time: string;
  readonly subject: string;
  readonly kind: string;
  readonly writer: string;
  readonly verdict: string;
  readonly message: string;
}

/** Lists the changes that the log still holds, with the verdict on each. */
export class ContractHistoryCommand extends OperatorCommand {
  static override paths = [["contract", "history"]];
  static override usage = Command.Usage({
    category: "Contracts",
    description: "List the changes in the log and the verdict on each",
    details: `Lists the changes of contracts, capacity and drains that the log
still holds, or only those of one customer's contract.

When older records have been dropped from the log, the verdicts on the records
before the newest snapshot are unknown; these are listed as "not-judged".

${EXIT_CODE_HELP}`,
    examples: [[
      "List the changes of a customer's contract",
      "briarhill contract history agencia",
    ]],
  });

  readonly customer: string | undefined = Option.String({
    name: "CUSTOMER",
    required: false,
  });

  override async runCommand(): Promise<CommandReport> {
    const reader = new ConfigurationReader(this.openLog());
    await reader.readToEnd();
    const rows = [
      ...reader.getRecordsWithoutVerdict().map(toRowWithoutVerdict),
      ...reader.getVerdicts().map(toRow),
    ].filter(({ subject }) =>
      this.customer === undefined || subject === `contract/${this.customer}`
    );
    return {
      code: ExitCode.Done,
      data: rows,
      lines: rows.map((row) =>
        [
          row.offset,
          row.time,
          row.subject,
          row.kind,
          row.writer,
          row.verdict,
          row.message,
        ].join("  ").trimEnd()
      ),
    };
  }
}

function toRow(verdict: RecordVerdict): HistoryRow {
  const { record } = verdict;
  return {
    offset: verdict.offset,
    time: formatTime(verdict.timeMs),
    subject: record === undefined ? "" : getSubject(record),
    kind: record?.kind ?? "",
    writer: record?.writer ?? "",
    verdict: verdict.verdict,
    message: verdict.message,
  };
}

function toRowWithoutVerdict({ offset, timeMs, value }: LogRecord): HistoryRow {
  const record = decodeConfigurationRecord(value);
  const row = toRow({
    offset,
    timeMs,
    record,
    verdict: "accepted",
    message: "",
    inForce: undefined,
  });
  return { ...row, verdict: "not-judged" };
}

function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString();
}
