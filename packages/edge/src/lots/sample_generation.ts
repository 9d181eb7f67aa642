/**
 * One run of a sample at one engine.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_fault";
import type { Clock } from "@briarhill/common/time/clock";
import { EventDecoder } from "@briarhill/platform/engine/event_decoder";
import { encodeGeneration } from "@briarhill/platform/engine/sample_call";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { IncomingMessage } from "node:http";
import type { CheckedHead, EndpointSender } from "../calls/endpoint_sender.ts";

/** The longest pause of a stream, in milliseconds; above a load of weights on a slow engine. */
const SILENCE_MS = 2_500;

/**
 * How a run ended. "failed": the engine's own error; "impossible": the sample
 * can never be done; "refused": it has not run; "broken": what came so far
 * counts; "outdated": the engine's weights are too old.
 */
export type GenerationEnd =
  | "finished"
  | "failed"
  | "impossible"
  | "refused"
  | "broken"
  | "outdated"
  | "cancelled";

/** What a run needs. */
export interface SampleGenerationOptions {
  readonly clock: Clock;
  readonly sender: EndpointSender;
  readonly lot: LotRequest;
  readonly task: SampleTask;
  readonly endpoint: EndpointStructure;
  readonly urgency: number;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** How a run ended, and why. */
export interface GenerationReport {
  readonly end: GenerationEnd;
  readonly reason: string;
}

/**
 * Runs a sample at an engine from where it stands; its events are added to the task.
 *
 * @example
 * ```ts
 * declare const options: SampleGenerationOptions;
 *
 * const { end } = await runGeneration(options);
 * ```
 * @param options - What the run needs.
 */
export async function runGeneration(
  options: SampleGenerationOptions,
): Promise<GenerationReport> {
  const { sender, task, endpoint, signal, lot } = options;
  const call = encodeGeneration(task.request, {
    host: lot.host,
    endpoint: endpoint.id,
    deadlineMs: options.deadlineMs,
    lastEventId: task.lastEventId,
    urgency: options.urgency,
    version: undefined,
  });
  try {
    return await sender.run({
      ...call,
      body: call.body ?? Buffer.alloc(0),
      endpoint,
      attemptId: task.request.id,
      timeoutMs: SILENCE_MS,
      signal,
    }, (checked) => readGeneration(options, checked));
  } catch (error) {
    if (signal.aborted) {
      return { end: "cancelled", reason: "cancelled" };
    }
    if (!(error instanceof PortError)) {
      throw error;
    }
    const isNotRun = error.outcome === "not-run";
    return { end: isNotRun ? "refused" : "broken", reason: error.fault };
  }
}

async function readGeneration(
  options: SampleGenerationOptions,
  { head, answer }: CheckedHead,
): Promise<GenerationReport> {
  const { status } = answer;
  if (status !== 200) {
    head.stream.resume();
    const reason = `status ${status}`;
    if (answer.isRefused) {
      return { end: "refused", reason };
    }
    if (status === 422) {
      return { end: "impossible", reason };
    }
    return { end: status === 500 ? "failed" : "broken", reason };
  }
  return await readEvents(options, head.stream, answer.version ?? 0);
}

/** Reads events until the stream ends; a stream that only broke off can be resumed. */
function readEvents(
  options: SampleGenerationOptions,
  stream: IncomingMessage,
  headVersion: number,
): Promise<GenerationReport> {
  const { clock, task, lot, signal } = options;
  const decoder = new EventDecoder();
  let version = headVersion;
  let report: GenerationReport | undefined;
  const end = (early: GenerationReport) => {
    report ??= early;
    stream.destroy();
  };
  let silence = clock.setTimer(SILENCE_MS, () => undefined);
  const watch = () => {
    silence.cancel();
    silence = clock.setTimer(
      SILENCE_MS,
      () => end({ end: "broken", reason: "silent" }),
    );
  };
  watch();
  stream.on("data", (bytes: Buffer) => {
    watch();
    for (const event of decoder.addBytes(bytes)) {
      version = event.version ?? version;
      const verdict = report === undefined
        ? task.addEvent({ ...event, version }, lot.minVersion)
        : "taken";
      if (verdict !== "taken") {
        const isOld = verdict === "outdated";
        end({ end: isOld ? "outdated" : "broken", reason: verdict });
      }
    }
  });
  return new Promise((resolve, reject) => {
    stream.on("close", () => {
      silence.cancel();
      if (signal.aborted) {
        resolve({ end: "cancelled", reason: "cancelled" });
      } else if (report !== undefined) {
        report.reason === "silent"
          ? reject(createSilentError(task.request.path))
          : resolve(report);
      } else if (stream.complete && !decoder.hasPartialEvent) {
        resolve({ end: "finished", reason: "" });
      } else {
        resolve({ end: "broken", reason: "cut" });
      }
    });
  });
}

function createSilentError(operation: string): PortError {
  return createPortError("the engine's stream has gone silent", {
    port: "endpoint",
    operation,
    fault: "silent",
    outcome: "unknown",
  });
}
