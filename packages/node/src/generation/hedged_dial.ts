/**
 * Hedges a dial with a second one if its first chunk is late. Each dial must be
 * recorded as ended exactly once, whether it wins, loses or fails.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { EndpointId, RequestClass } from "@briarhill/common/ids/ids";
import type {
  GenerateChunk,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";
import { Dial } from "./dial.ts";
import type { GenerationContext } from "./generation_context.ts";

/** Options of {@link openHedged}. */
export interface HedgedDialOptions {
  readonly context: GenerationContext;
  readonly endpoint: EndpointId;
  readonly requestClass: RequestClass;
  readonly prefixHash: string;
  readonly request: GenerateRequest;
  /** Whether a second engine may be dialed. */
  readonly canHedge: boolean;
  /** Picks the second engine. */
  readonly pickSecond: () => EndpointId | undefined;
  /** Called with the dial that is currently awaited. */
  readonly onDial: (dial: Dial) => void;
}

/** A dial whose first read has completed. */
export interface OpenedDial {
  readonly dial: Dial;
  /** First chunk; omitted if the stream ended without one. */
  readonly first?: GenerateChunk;
}

/**
 * Dials an engine and resolves with the first chunk. If that takes longer than
 * the hedging delay and the retry budget allows it, a second engine is dialed;
 * the first dial to respond is used and the other one is cancelled.
 *
 * @example
 * ```ts
 * const { dial, first } = await openHedged(options);
 * ```
 * @param options - The options.
 */
export async function openHedged(
  options: HedgedDialOptions,
): Promise<OpenedDial> {
  const { context, endpoint } = options;
  const startMs = context.getNowMs();
  const dial = startDial(options, endpoint);
  options.onDial(dial);
  const response = readFirst(options, dial);
  if (!options.canHedge) {
    return await response;
  }
  const delayMs = context.hedges.getDelayMs();
  const opened = delayMs === undefined
    ? await response
    : await waitOrHedge(options, { dial, response, delayMs });
  context.hedges.recordFirstToken(context.getNowMs() - startMs);
  return opened;
}

async function waitOrHedge(
  options: HedgedDialOptions,
  first: {
    readonly dial: Dial;
    readonly response: Promise<OpenedDial>;
    readonly delayMs: number;
  },
): Promise<OpenedDial> {
  const { node, budgets } = options.context;
  const opened = await Promise.race([
    first.response,
    new Promise<undefined>((resolve) => {
      const timer = node.clock.setTimer(
        first.delayMs,
        () => resolve(undefined),
      );
      first.response.finally(() => timer.cancel()).catch(() => undefined);
    }),
  ]);
  if (opened !== undefined) {
    return opened;
  }
  const second = budgets.live.hasRetry() ? options.pickSecond() : undefined;
  if (second === undefined || second === first.dial.endpoint) {
    return await first.response;
  }
  budgets.live.acquire();
  return await resolveFirst(options, first, startDial(options, second));
}

async function resolveFirst(
  options: HedgedDialOptions,
  first: { readonly dial: Dial; readonly response: Promise<OpenedDial> },
  second: Dial,
): Promise<OpenedDial> {
  const responses = [first.response, readFirst(options, second)];
  const opened = await Promise.any(responses).catch(() => first.response);
  options.onDial(opened.dial);
  const isFirst = opened.dial === first.dial;
  (isFirst ? second : first.dial).cancel(createCancelledError());
  responses[isFirst ? 1 : 0]?.then(
    // The cancelled dial may have responded as well; it is no longer in flight.
    ({ dial }) =>
      options.context.pool.recordEnd(dial.endpoint, options.requestClass),
    () => undefined,
  );
  return opened;
}

function startDial(options: HedgedDialOptions, endpoint: EndpointId): Dial {
  const engine = options.context.pool.getEngine(endpoint);
  if (engine === undefined) {
    throw new PortError(
      `cannot dial engine "${endpoint}": it is not in the endpoint directory`,
      {
        props: { port: "engine", operation: "generate", fault: "refused" },
      },
    );
  }
  options.context.pool.recordStart(endpoint, options);
  return new Dial(endpoint, { engine, request: options.request });
}

/** Reads the first chunk; a dial that fails before it is recorded as ended. */
async function readFirst(
  options: HedgedDialOptions,
  dial: Dial,
): Promise<OpenedDial> {
  try {
    const first = await dial.readNext();
    return { dial, ...(first && { first }) };
  } catch (error) {
    options.context.pool.recordEnd(dial.endpoint, options.requestClass);
    throw error;
  }
}

function createCancelledError(): Error {
  return new PortError(
    "dial cancelled because another engine responded first",
    {
      props: {
        port: "engine",
        operation: "generate",
        fault: "cancelled" as const,
      },
    },
  );
}
