/**
 * Judges what must always hold from the records of callers, trainer and
 * endpoints.
 * @module
 */
import { computeLength, hashStream } from "@briarhill/fakes/engine/fake_text";
import type { GenerateRequest } from "@briarhill/ports/engine/engine";
import type { Execution } from "@briarhill/fakes/service/fake_service";
import { checkAnswer } from "../caller/answer_check.ts";
import type { JudgedStep } from "../deployments/trainer_load.ts";
import type { Breach } from "./breach.ts";
import {
  checkConfiguration,
  checkLeaving,
  checkOrders,
  type ConfigurationRecords,
  type EngineOrders,
  type LeavingEndpoint,
} from "./change_checks.ts";
import { hasTrueLabels } from "./label_check.ts";
import type { LiveRecord, ServiceRecord } from "./call_record.ts";
import type { PlannedStop } from "./failure_phases.ts";

/** All records of one run. */
export interface FailureRecords {
  readonly live: readonly LiveRecord[];
  readonly services: readonly ServiceRecord[];
  readonly executions: readonly Execution[];
  readonly steps: readonly JudgedStep[];
  readonly generated: readonly GenerateRequest[];
  readonly stops: readonly PlannedStop[];
  /** Why the trainer gave up, if it did. */
  readonly trainerFault: string | undefined;
  readonly lengths: {
    readonly medianTokens: number;
    readonly lengthSigma: number;
  };
  readonly newestVersion: number;
  readonly configuration: ConfigurationRecords;
  readonly leaving: readonly LeavingEndpoint[];
  readonly orders: readonly EngineOrders[];
}

/**
 * Returns all breaches that the records show.
 *
 * @example
 * ```ts
 * const breaches = findBreaches(records);
 * ```
 * @param records - The records of one run.
 */
export function findBreaches(records: FailureRecords): readonly Breach[] {
  return [
    ...records.live.flatMap((call) => checkLive(call, records)),
    ...records.services.flatMap((call) => checkService(call, records)),
    ...records.steps.flatMap((step) => checkSamples(step, records)),
    ...checkTrainer(records),
    ...records.stops.flatMap((stop) => checkStop(stop, records)),
    ...checkConfiguration(records.configuration),
    ...records.leaving.flatMap(checkLeaving),
    ...checkOrders(records.orders),
  ];
}

function checkLive(
  call: LiveRecord,
  { lengths, newestVersion }: FailureRecords,
): readonly Breach[] {
  const { phase, prompt, seed, answer } = call;
  const breach = { mustHold: "whole-answers", phase } as const;
  if (answer === undefined) {
    const last = call.attempts.at(-1)?.message;
    return [{ ...breach, detail: `"${prompt}" had no answer: ${last}` }];
  }
  const versions = Array.from({ length: newestVersion }, (_, n) => n + 1);
  const fault = checkAnswer(answer, { prompt, seed, versions });
  if (fault !== undefined) {
    return [{ ...breach, detail: `"${prompt}": ${fault}` }];
  }
  const expected = Math.min(
    call.maxTokens,
    computeLength({
      streamHash: hashStream(prompt, seed),
      medianTokens: lengths.medianTokens,
      sigma: lengths.lengthSigma,
    }),
  );
  const found = parseTokens(answer.text).length;
  return found === expected ? [] : [{
    ...breach,
    detail: `"${prompt}" has ${found} tokens, expected ${expected}`,
  }];
}

function checkService(
  call: ServiceRecord,
  { executions }: FailureRecords,
): readonly Breach[] {
  const { phase, key } = call;
  const count = executions.filter((other) => other.key === key).length;
  const possible = call.attempts
    .filter(({ outcome }) => outcome !== "not-run").length;
  const breaches: Breach[] = [];
  if (count > 1) {
    const detail = `"${key}" was executed ${count} times`;
    breaches.push({ mustHold: "at-most-once", phase, detail });
  }
  if (count > possible) {
    const detail = `"${key}" was executed, though all attempts said not run`;
    breaches.push({ mustHold: "true-refusals", phase, detail });
  }
  if (call.answer !== undefined && !isOwnAnswer(call.answer, key)) {
    const detail = `"${key}" was answered with ${call.answer}`;
    breaches.push({ mustHold: "whole-answers", phase, detail });
  }
  return breaches;
}

function isOwnAnswer(answer: string, key: string): boolean {
  try {
    return (JSON.parse(answer) as { readonly key?: unknown }).key === key;
  } catch {
    return false;
  }
}

function checkSamples(
  { record, verdict }: JudgedStep,
  records: FailureRecords,
): readonly Breach[] {
  const phase = "";
  const labels = record.samples
    .filter((sample) =>
      verdict.mislabelled.includes(sample.sampleId) ||
      !hasTrueLabels(sample, records.generated)
    )
    .map((sample) => {
      const detail = `${sample.sampleId} ${JSON.stringify(sample.spans)}`;
      return { mustHold: "true-labels", phase, detail } as const;
    });
  const stale = verdict.stale.map((detail) =>
    ({ mustHold: "staleness", phase, detail }) as const
  );
  const isOnce = verdict.isWhole && verdict.duplicates.length === 0 &&
    verdict.outOfOrder.length === 0;
  const detail = JSON.stringify({ ...verdict, size: record.samples.length });
  return [
    ...labels,
    ...stale,
    ...isOnce ? [] : [{ mustHold: "exactly-once", phase, detail } as const],
  ];
}

function checkTrainer({ trainerFault }: FailureRecords): readonly Breach[] {
  return trainerFault === undefined ? [] : [{
    mustHold: "exactly-once",
    phase: "",
    detail: trainerFault,
  }];
}

function checkStop(
  stop: PlannedStop,
  { live, services }: FailureRecords,
): readonly Breach[] {
  const phase = "rolling-restart";
  const mustHold = "graceful-stops";
  const { code, signal } = stop.exit;
  const cut = [...live, ...services]
    .flatMap(({ attempts }) => attempts)
    .filter(({ node, ending, startedAtMs, endedAtMs }) =>
      node === stop.node && ending === "broken" &&
      startedAtMs <= stop.askedAtMs && endedAtMs >= stop.askedAtMs
    );
  const ended = code === 0
    ? []
    : [{ mustHold, phase, detail: `exit ${code}, ${signal}` } as const];
  const cutOff = cut.map(({ message }) =>
    ({ mustHold, phase, detail: `cut off: ${message}` }) as const
  );
  return [...ended, ...cutOff];
}

function parseTokens(text: string): readonly string[] {
  return text.split(" ").filter((token) => token !== "");
}
