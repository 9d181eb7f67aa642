/**
 * Formats the report of the quickstart as text.
 * @module
 */
import { isStepSound } from "../trainer/step_check.ts";
import type { ReceivedSample } from "../trainer/trainer_client.ts";
import type { QuickstartReport } from "./quickstart.ts";

const MAX_SHOWN_CHARACTERS = 60;

/**
 * Returns whether all checks of the quickstart passed.
 *
 * @example
 * ```ts
 * process.exitCode = isReportSound(report) ? 0 : 1;
 * ```
 * @param report - The results of the quickstart.
 */
export function isReportSound(report: QuickstartReport): boolean {
  return report.answer.finishReason !== undefined &&
    report.serviceStatus < 300 && report.serviceExecutions === 1 &&
    isStepSound(report.verdict);
}

/**
 * Formats the report as text.
 *
 * @example
 * ```ts
 * process.stdout.write(formatReport(report));
 * ```
 * @param report - The results of the quickstart.
 */
export function formatReport(report: QuickstartReport): string {
  const { answer, step, verdict } = report;
  const isOnce = verdict.isWhole && verdict.duplicates.length === 0 &&
    verdict.outOfOrder.length === 0;
  return [
    `live response      ${answer.text.slice(0, MAX_SHOWN_CHARACTERS)}…`,
    `  finish reason    ${
      answer.finishReason ?? "none: the response broke off"
    }`,
    `service call       status ${report.serviceStatus}, executed ` +
    `${report.serviceExecutions} time(s)`,
    "samples            position, group, version spans (tokens)",
    ...step.samples.map(formatSample),
    `staleness          at most ${verdict.maxVersionsBehind} version(s) behind`,
    `step               ${Math.round(step.stepMs)} ms, trainer idle ` +
    `${Math.round(step.idleMs)} ms`,
    `delivered once     ${isOnce ? "yes" : "NO"} (${step.samples.length} ` +
    `samples, ${verdict.duplicates.length} duplicates)`,
    `valid spans        ${verdict.mislabelled.length === 0 ? "yes" : "NO"}`,
    "",
  ].join("\n");
}

function formatSample(sample: ReceivedSample): string {
  const spans = sample.spans
    .map(({ fromToken, toToken, version }) =>
      `v${version}[${fromToken}..${toToken})`
    )
    .join(" ");
  const position = String(sample.position).padStart(4);
  return `  ${position}  ${sample.groupId.padEnd(10)} ${spans}`;
}
