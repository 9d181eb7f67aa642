/**
 * Runs one attempt at a sample on one engine.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { drainBody } from "@briarhill/common/http/body_reader";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeGeneration } from "@briarhill/platform/engine/sample_call";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { CheckedHead } from "../calls/endpoint_request.ts";
import type { EndpointSender } from "../calls/endpoint_sender.ts";
import type { GenerationReport } from "./generation_report.ts";
import { EVENT_TIMEOUT_MS, GenerationReader } from "./generation_reader.ts";

/** Options of `runGeneration`. */
export interface SampleGenerationOptions {
  readonly clock: Clock;
  readonly sender: EndpointSender;
  readonly lot: LotRequest;
  readonly task: SampleTask;
  readonly endpoint: EndpointStructure;
  readonly urgency: number;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Called with the number of events that have arrived together. */
  readonly onEvents?: (count: number) => void;
  /** Called with the bytes that are kept of the sample, whenever bytes have arrived. */
  readonly onHeldBytes?: (bytes: number) => void;
}

/**
 * Runs one attempt at a sample on an engine, resuming after the last event of its
 * task. New events are added to the task.
 *
 * @example
 * ```ts
 * declare const options: SampleGenerationOptions;
 *
 * const { end } = await runGeneration(options);
 * ```
 * @param options - The sample, the engine and what is needed to call it.
 */
export async function runGeneration(
  options: SampleGenerationOptions,
): Promise<GenerationReport> {
  const { sender, task, endpoint, signal, lot } = options;
  const call = encodeGeneration(task.request, {
    host: lot.host,
    ...(lot.workspace === undefined ? {} : { workspace: lot.workspace }),
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
      purpose: "sample",
      attemptId: task.request.id,
      timeoutMs: EVENT_TIMEOUT_MS,
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
    drainBody(head.stream);
    const reason = `status ${status}`;
    if (answer.isRefused) {
      return { end: "refused", reason };
    }
    if (status === 422) {
      return { end: "impossible", reason };
    }
    return { end: status === 500 ? "failed" : "broken", reason };
  }
  return await new GenerationReader({ ...options, stream: head.stream })
    .readEvents(answer.version ?? 0);
}
