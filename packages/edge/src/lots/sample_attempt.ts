/**
 * Defines one attempt at a sample on one engine.
 * @module
 */
import type { AttemptPace } from "@briarhill/rollout/dispatch/attempt_pace";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";

/** One attempt at a sample on one engine. */
export interface SampleAttempt {
  readonly task: SampleTask;
  readonly endpoint: EndpointStructure;
  readonly startedAtMs: number;
  readonly pace: AttemptPace;
  /** Number of events that the sample had before this attempt. */
  readonly initialEvents: number;
  /** Number of moves of the sample before this attempt. */
  readonly moves: number;
  readonly abort: AbortController;
}
