/**
 * The streams that a stand-in engine knows by their request id.
 * @module
 */
import type { RequestId } from "@briarhill/common/ids/ids";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import type { GenerateRequest } from "@briarhill/ports/engine/engine";
import { createRejection } from "../faults/rejection.ts";
import type { FakeBatch } from "./fake_batch.ts";
import type { FakeEngineSettings } from "./fake_engine_settings.ts";
import { FakeStream } from "./fake_stream.ts";

const RETRY_AFTER_MS = 100;

/** One arrival of a request for text. */
export interface ReceivedRequest {
  readonly request: GenerateRequest;
  readonly atMs: number;
  /** Whether the stream was there already and is read again. */
  readonly resumed: boolean;
  /** Whether the engine had said that it is leaving. */
  readonly leaving: boolean;
}

/** The streams of one engine: a stream that nobody reads is kept for a while, so that it can be resumed. */
export class FakeStreams {
  readonly #clock: Clock;
  readonly #settings: FakeEngineSettings;
  readonly #batch: FakeBatch;
  readonly #streams = new Map<RequestId, FakeStream>();
  readonly #received: ReceivedRequest[] = [];
  readonly #timers = new Map<FakeStream, Timer>();

  constructor(clock: Clock, settings: FakeEngineSettings, batch: FakeBatch) {
    this.#clock = clock;
    this.#settings = settings;
    this.#batch = batch;
  }

  /** Returns the requests in the order of their arrival. */
  getReceived(): readonly ReceivedRequest[] {
    return this.#received;
  }

  /**
   * Returns a stream, if it is known.
   *
   * @param requestId - The stream's request.
   */
  get(requestId: RequestId): FakeStream | undefined {
    return this.#streams.get(requestId);
  }

  /**
   * Returns the stream of a request: the one that runs already, or a new one.
   *
   * @param request - The request.
   * @param leaving - Whether the engine has said that it is leaving.
   */
  open(request: GenerateRequest, leaving: boolean): FakeStream {
    const resumed = this.#findResumable(request);
    if (resumed === undefined) {
      this.#throwIfUnable(request);
    }
    this.#received.push({
      request,
      atMs: this.#clock.getMonotonicMs(),
      resumed: resumed !== undefined,
      leaving,
    });
    return resumed ?? this.#add(request);
  }

  /**
   * Cancels a stream; one that is unknown or finished stays as it is.
   *
   * @param requestId - The stream's request.
   */
  cancel(requestId: RequestId): void {
    this.#streams.get(requestId)?.setState("cancelled");
    this.#batch.prune();
  }

  /** Forgets all streams. */
  clear(): void {
    this.#streams.clear();
    this.#timers.forEach((timer) => timer.cancel());
    this.#timers.clear();
  }

  #findResumable(request: GenerateRequest): FakeStream | undefined {
    const known = this.#streams.get(request.requestId);
    const isLost = known?.state === "cancelled" || known?.state === "reset";
    return isLost || !known?.hasOffset(request.fromToken) ? undefined : known;
  }

  #add(request: GenerateRequest): FakeStream {
    this.#streams.get(request.requestId)?.setState("cancelled");
    const stream: FakeStream = new FakeStream(
      request,
      this.#settings,
      () => this.#scheduleRemoval(stream),
    );
    this.#streams.set(request.requestId, stream);
    this.#batch.add(stream);
    return stream;
  }

  #throwIfUnable(request: GenerateRequest): void {
    const call = { port: "engine", operation: "generate" };
    if (request.fromToken > 0 && request.prefix === undefined) {
      throw createRejection(
        `no stream "${request.requestId}" to resume`,
        call,
      );
    }
    if (this.#batch.countQueued() >= this.#settings.maxQueued) {
      const retryAfterMs = RETRY_AFTER_MS;
      throw createRejection("the queue is full", { ...call, retryAfterMs });
    }
  }

  #scheduleRemoval(stream: FakeStream): void {
    this.#timers.get(stream)?.cancel();
    const timer = this.#clock.setTimer(
      this.#settings.orphanMs,
      () => this.#removeUnread(stream),
    );
    this.#timers.set(stream, timer);
  }

  #removeUnread(stream: FakeStream): void {
    const { requestId } = stream.request;
    this.#timers.delete(stream);
    if (!stream.isRead() && this.#streams.get(requestId) === stream) {
      this.cancel(requestId);
      this.#streams.delete(requestId);
    }
  }
}
