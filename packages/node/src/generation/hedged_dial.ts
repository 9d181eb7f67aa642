/**
 * A dial that is hedged by a second one when its first chunk is late.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { EndpointId, RequestClass } from "@briarhill/common/ids/ids";
import type {
  GenerateChunk,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";
import { Dial } from "./dial.ts";
import type { GenerationParts } from "./generation_parts.ts";

/** What to dial. */
export interface HedgedDialOptions {
  readonly parts: GenerationParts;
  readonly endpoint: EndpointId;
  readonly requestClass: RequestClass;
  readonly prefixHash: string;
  readonly request: GenerateRequest;
  /** Whether a second engine may be asked. */
  readonly canHedge: boolean;
  /** Picks a second engine. */
  readonly pickSecond: () => EndpointId | undefined;
  /** Told of the dial that is waited for. */
  readonly onDial: (dial: Dial) => void;
}

/** A dial that has answered. */
export interface OpenedDial {
  readonly dial: Dial;
  /** The first chunk; left out when the stream ended without one. */
  readonly first?: GenerateChunk;
}

/**
 * Dials an engine and resolves with the first chunk. Where that takes longer
 * than usual and the retry budget allows it, a second engine is asked; the
 * first to answer is taken and the other one cancelled.
 *
 * @example
 * ```ts
 * const { dial, first } = await openHedged(options);
 * ```
 * @param options - What to dial.
 */
export async function openHedged(
  options: HedgedDialOptions,
): Promise<OpenedDial> {
  const { parts, endpoint } = options;
  const startMs = parts.getNowMs();
  const dial = openDial(options, endpoint);
  options.onDial(dial);
  const answer = readFirst(options, dial);
  if (!options.canHedge) {
    return await answer;
  }
  const delayMs = parts.hedges.getDelayMs();
  const opened = delayMs === undefined
    ? await answer
    : await waitOrHedge(options, { dial, answer, delayMs });
  parts.hedges.recordFirstToken(parts.getNowMs() - startMs);
  return opened;
}

async function waitOrHedge(
  options: HedgedDialOptions,
  first: {
    readonly dial: Dial;
    readonly answer: Promise<OpenedDial>;
    readonly delayMs: number;
  },
): Promise<OpenedDial> {
  const { context, budgets } = options.parts;
  const opened = await Promise.race([
    first.answer,
    new Promise<undefined>((resolve) => {
      const timer = context.clock.setTimer(
        first.delayMs,
        () => resolve(undefined),
      );
      first.answer.finally(() => timer.cancel()).catch(() => undefined);
    }),
  ]);
  if (opened !== undefined) {
    return opened;
  }
  const second = budgets.live.hasRetry() ? options.pickSecond() : undefined;
  if (second === undefined || second === first.dial.endpoint) {
    return await first.answer;
  }
  budgets.live.acquire();
  return await resolveFirst(options, first, openDial(options, second));
}

async function resolveFirst(
  options: HedgedDialOptions,
  first: { readonly dial: Dial; readonly answer: Promise<OpenedDial> },
  second: Dial,
): Promise<OpenedDial> {
  const answers = [first.answer, readFirst(options, second)];
  const opened = await Promise.any(answers).catch(() => first.answer);
  options.onDial(opened.dial);
  const isFirst = opened.dial === first.dial;
  (isFirst ? second : first.dial).cancel(createCancelled());
  answers[isFirst ? 1 : 0]?.then(
    // Both answered at once: the loser is in flight no longer.
    ({ dial }) =>
      options.parts.pool.recordEnd(dial.endpoint, options.requestClass),
    () => undefined,
  );
  return opened;
}

function openDial(options: HedgedDialOptions, endpoint: EndpointId): Dial {
  const engine = options.parts.pool.getEngine(endpoint);
  if (engine === undefined) {
    throw new PortError(`engine "${endpoint}" is gone`, {
      props: { port: "engine", operation: "generate", fault: "refused" },
    });
  }
  options.parts.pool.recordStart(endpoint, options);
  return new Dial(endpoint, { engine, request: options.request });
}

/** Reads the first chunk; a dial that ends without one is no longer in flight. */
async function readFirst(
  options: HedgedDialOptions,
  dial: Dial,
): Promise<OpenedDial> {
  try {
    const first = await dial.readNext();
    return { dial, ...(first && { first }) };
  } catch (error) {
    options.parts.pool.recordEnd(dial.endpoint, options.requestClass);
    throw error;
  }
}

function createCancelled(): Error {
  return new PortError("another engine answered first", {
    props: {
      port: "engine",
      operation: "generate",
      fault: "cancelled" as const,
    },
  });
}
