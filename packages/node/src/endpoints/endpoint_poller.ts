/**
 * Asks one endpoint for its load, state and cache events.
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

const STATE_EVERY = 4;
const CACHE_EVENTS_EVERY = 2;
/** An interval is drawn from 1 - JITTER to 1 + JITTER times the wanted one. */
const JITTER = 0.25;

/** What a poll found; what failed or was not asked is left out. */
export interface EndpointPoll {
  readonly load?: LoadReport;
  readonly serviceLoad?: ServiceLoad;
  readonly state?: EngineState;
  readonly cacheEvents?: readonly CacheEvent[];
  /** The monotonic time of the question. */
  readonly askedAtMs: number;
}

/** What is polled, and who hears of it. */
export interface EndpointPollerOptions {
  readonly engine: Engine | undefined;
  readonly service: Service | undefined;
  readonly getIntervalMs: () => number;
  readonly getCacheSequence: () => number;
  readonly onPoll: (poll: EndpointPoll) => void;
}

/** Asks one endpoint for its load, state and cache events until it is stopped. */
export class EndpointPoller {
  readonly #context: NodeContext;
  readonly #options: EndpointPollerOptions;
  readonly #stopping = new AbortController();

  constructor(context: NodeContext, options: EndpointPollerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Ends the polls. */
  stop(): void {
    this.#stopping.abort();
  }

  /** Polls until {@link EndpointPoller.stop} is called. */
  async run(): Promise<void> {
    const { clock, random } = this.#context;
    const { signal } = this.#stopping;
    for (let round = 0; !signal.aborted; round++) {
      const poll = await this.#fetchPoll(round);
      if (!signal.aborted) {
        this.#options.onPoll(poll);
      }
      const factor = 1 - JITTER + 2 * JITTER * random.getUnit();
      await clock.sleep(this.#options.getIntervalMs() * factor, signal);
    }
  }

  async #fetchPoll(round: number): Promise<EndpointPoll> {
    const { engine, service } = this.#options;
    const askedAtMs = this.#context.clock.getMonotonicMs();
    if (engine === undefined) {
      const serviceLoad = await getOrUndefined(() => service?.getLoad());
      return { askedAtMs, ...(serviceLoad && { serviceLoad }) };
    }
    const after = this.#options.getCacheSequence();
    const [load, state, cacheEvents] = await Promise.all([
      getOrUndefined(() => engine.getLoad()),
      round % STATE_EVERY === 0
        ? getOrUndefined(() => engine.getState())
        : undefined,
      round % CACHE_EVENTS_EVERY === 0
        ? getOrUndefined(() => engine.getCacheEvents(after))
        : undefined,
    ]);
    return {
      askedAtMs,
      ...(load && { load }),
      ...(state && { state }),
      ...(cacheEvents && { cacheEvents }),
    };
  }
}

/** A poll that fails says nothing; requests find out what is wrong. */
async function getOrUndefined<T>(
  get: () => Promise<T> | undefined,
): Promise<T | undefined> {
  try {
    return await get();
  } catch {
    return undefined;
  }
}
