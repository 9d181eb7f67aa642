/**
 * Polls one endpoint for its load, state and cache events.
 * @module
 */
import type {
  CacheEvent,
  Engine,
  EngineState,
  LoadReport,
} from "@briarhill/ports/engine/engine";
import type { Service, ServiceLoad } from "@briarhill/ports/service/service";
import type { NodeContext } from "../node/node_context.ts";

/** The state is requested in every fourth round, the load in each. */
const ROUNDS_PER_STATE_REQUEST = 4;
/** The cache events are requested in every second round. */
const ROUNDS_PER_CACHE_EVENT_REQUEST = 2;
/** Each interval is drawn from 1 - JITTER_RATIO to 1 + JITTER_RATIO times the configured one. */
const JITTER_RATIO = 0.25;

/** The result of a poll; reports that failed or were not requested are absent. */
export interface EndpointPoll {
  readonly load?: LoadReport;
  readonly serviceLoad?: ServiceLoad;
  readonly state?: EngineState;
  readonly cacheEvents?: readonly CacheEvent[];
  /** The monotonic time at which the poll was sent. */
  readonly requestedAtMs: number;
}

/** Options of {@link EndpointPoller}. */
export interface EndpointPollerOptions {
  readonly engine: Engine | undefined;
  readonly service: Service | undefined;
  readonly getIntervalMs: () => number;
  readonly getCacheSequence: () => number;
  readonly onPoll: (poll: EndpointPoll) => void;
}

/** Polls one endpoint for its load, state and cache events until it is stopped. */
export class EndpointPoller {
  readonly #context: NodeContext;
  readonly #options: EndpointPollerOptions;
  readonly #abortController = new AbortController();

  constructor(context: NodeContext, options: EndpointPollerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Stops polling; the result of a poll in flight is discarded. */
  stop(): void {
    this.#abortController.abort();
  }

  /** Polls until {@link EndpointPoller.stop} is called. */
  async run(): Promise<void> {
    const { clock, random } = this.#context;
    const { signal } = this.#abortController;
    for (let round = 0; !signal.aborted; round++) {
      const poll = await this.#fetchPoll(round);
      if (!signal.aborted) {
        this.#options.onPoll(poll);
      }
      const factor = 1 - JITTER_RATIO + 2 * JITTER_RATIO * random.getFloat();
      await clock.sleep(this.#options.getIntervalMs() * factor, signal);
    }
  }

  async #fetchPoll(round: number): Promise<EndpointPoll> {
    const { engine, service } = this.#options;
    const requestedAtMs = this.#context.clock.getMonotonicMs();
    if (engine === undefined) {
      const serviceLoad = await getOrUndefined(() => service?.getLoad());
      return { requestedAtMs, ...(serviceLoad && { serviceLoad }) };
    }
    const after = this.#options.getCacheSequence();
    const [load, state, cacheEvents] = await Promise.all([
      getOrUndefined(() => engine.getLoad()),
      round % ROUNDS_PER_STATE_REQUEST === 0
        ? getOrUndefined(() => engine.getState())
        : undefined,
      round % ROUNDS_PER_CACHE_EVENT_REQUEST === 0
        ? getOrUndefined(() => engine.getCacheEvents(after))
        : undefined,
    ]);
    return {
      requestedAtMs,
      ...(load && { load }),
      ...(state && { state }),
      ...(cacheEvents && { cacheEvents }),
    };
  }
}

/** Ignores the error of a poll: faults of an endpoint are detected by requests to it. */
async function getOrUndefined<T>(
  get: () => Promise<T> | undefined,
): Promise<T | undefined> {
  try {
    return await get();
  } catch {
    return undefined;
  }
}
