/**
 * Tracks which prompt prefixes each engine has probably cached.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** Lifetime of a hint from a cache event; the engine may have evicted the prefix since. */
const EVENT_LIFETIME_MS = 120_000;
/** Lifetime of a hint from a sent request, without a cache event of the engine. */
const SENT_LIFETIME_MS = 3000;
const MAX_HINTS_PER_ENGINE = 512;

/** A cache event that an engine publishes. */
export interface PrefixEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixHash: string;
}

interface EngineHints {
  sequence: number;
  /** Expiry time of the hint for each prefix hash. */
  readonly expiresAtMs: Map<string, number>;
}

/**
 * Maps engines to the prefixes that they have probably cached. Cache events
 * arrive late and with gaps, so an entry is only a hint: it expires, and a wrong
 * one costs a prefill.
 */
export class PrefixIndex {
  readonly #engines = new Map<EndpointId, EngineHints>();

  /**
   * Returns the highest sequence number observed from an engine, or -1 if there
   * is none.
   *
   * @param engine - The engine.
   */
  getSequence(engine: EndpointId): number {
    return this.#engines.get(engine)?.sequence ?? -1;
  }

  /**
   * Returns whether an engine has probably cached a prefix.
   *
   * @param engine - The engine.
   * @param options - The prefix's hash and the current time.
   */
  hasPrefix(
    engine: EndpointId,
    options: { readonly prefixHash: string; readonly nowMs: number },
  ): boolean {
    const expiresAtMs = this.#engines.get(engine)?.expiresAtMs.get(
      options.prefixHash,
    );
    return expiresAtMs !== undefined && options.nowMs < expiresAtMs;
  }

  /**
   * Applies an engine's cache events; ignores those whose sequence number does
   * not exceed the highest one observed.
   *
   * @param engine - The engine.
   * @param options - The events in order, and the current time.
   */
  applyEvents(
    engine: EndpointId,
    options: {
      readonly events: readonly PrefixEvent[];
      readonly nowMs: number;
    },
  ): void {
    const hints = this.#getOrAdd(engine);
    for (const { sequence, kind, prefixHash } of options.events) {
      if (sequence <= hints.sequence) {
        continue;
      }
      hints.sequence = sequence;
      hints.expiresAtMs.delete(prefixHash);
      if (kind === "stored") {
        const expiresAtMs = options.nowMs + EVENT_LIFETIME_MS;
        addHint(hints.expiresAtMs, { prefixHash, expiresAtMs });
      }
    }
  }

  /**
   * Records that this host sent a prompt with a prefix to an engine.
   *
   * @param engine - The engine.
   * @param options - The prefix's hash and the current time.
   */
  recordSent(
    engine: EndpointId,
    options: { readonly prefixHash: string; readonly nowMs: number },
  ): void {
    const { prefixHash, nowMs } = options;
    if (prefixHash !== "") {
      const hints = this.#getOrAdd(engine).expiresAtMs;
      const expiresAtMs = nowMs + SENT_LIFETIME_MS;
      const currentMs = hints.get(prefixHash) ?? expiresAtMs;
      addHint(hints, {
        prefixHash,
        expiresAtMs: Math.max(currentMs, expiresAtMs),
      });
    }
  }

  /**
   * Removes all hints of an engine, for example after its restart.
   *
   * @param engine - The engine.
   */
  remove(engine: EndpointId): void {
    this.#engines.delete(engine);
  }

  #getOrAdd(engine: EndpointId): EngineHints {
    const found = this.#engines.get(engine);
    if (found !== undefined) {
      return found;
    }
    const added = { sequence: -1, expiresAtMs: new Map<string, number>() };
    this.#engines.set(engine, added);
    return added;
  }
}

function addHint(
  hints: Map<string, number>,
  hint: { readonly prefixHash: string; readonly expiresAtMs: number },
): void {
  hints.delete(hint.prefixHash);
  hints.set(hint.prefixHash, hint.expiresAtMs);
  const oldest = hints.keys().next();
  if (hints.size > MAX_HINTS_PER_ENGINE && !oldest.done) {
    hints.delete(oldest.value);
  }
}
