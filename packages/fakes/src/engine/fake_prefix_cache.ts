/**
 * A cache of prompt prefixes in limited memory.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { CacheEvent } from "@briarhill/ports/engine/engine";
import type { FakeEngineSettings } from "./fake_engine_settings.ts";
import { hashText } from "./fake_text.ts";

const BLOCK_CHARACTERS = 128;
const CHARACTERS_PER_TOKEN = 4;
const MAX_EVENTS = 1000;

interface TimedEvent {
  readonly atMs: number;
  readonly event: CacheEvent;
}

/** Blocks of prompts, the least recently used evicted first; events come late and some get lost. */
export class FakePrefixCache {
  readonly #clock: Clock;
  readonly #settings: FakeEngineSettings;
  readonly #random: SeededRandom;
  readonly #blocks = new Set<string>();
  #events: readonly TimedEvent[] = [];
  #sequence = 0;

  constructor(clock: Clock, settings: FakeEngineSettings) {
    this.#clock = clock;
    this.#settings = settings;
    this.#random = new SeededRandom(settings.seed);
  }

  /** Returns the share of the memory in use, from 0 to 1. */
  getUsed(): number {
    return Math.min(1, this.#blocks.size / this.#settings.cacheBlocks);
  }

  /**
   * Adds a prompt and returns how many of its tokens were not in the cache.
   *
   * @param prompt - The prompt.
   */
  add(prompt: string): number {
    const blocks = listPrefixHashes(prompt);
    const missing = blocks.findIndex((block) => !this.#blocks.has(block));
    const cached = missing === -1 ? blocks.length : missing;
    blocks.forEach((block) => this.#addBlock(block));
    const rest = prompt.length - cached * BLOCK_CHARACTERS;
    return Math.ceil(Math.max(0, rest) / CHARACTERS_PER_TOKEN);
  }

  /**
   * Returns the events that are known by now.
   *
   * @param after - The last sequence number that the caller knows.
   */
  getEvents(after: number): readonly CacheEvent[] {
    const knownMs = this.#clock.getMonotonicMs() -
      this.#settings.cacheEventLagMs;
    return this.#events
      .filter(({ atMs, event }) => atMs <= knownMs && event.sequence > after)
      .map(({ event }) => event);
  }

  #addBlock(block: string): void {
    if (!this.#blocks.delete(block)) {
      this.#record("stored", block);
    }
    this.#blocks.add(block);
    const oldest = this.#blocks.values().next().value;
    if (
      this.#blocks.size > this.#settings.cacheBlocks && oldest !== undefined
    ) {
      this.#blocks.delete(oldest);
      this.#record("evicted", oldest);
    }
  }

  #record(kind: CacheEvent["kind"], prefixHash: string): void {
    const sequence = ++this.#sequence;
    if (this.#random.getFloat() < this.#settings.cacheEventLoss) {
      return;
    }
    const atMs = this.#clock.getMonotonicMs();
    const timed = { atMs, event: { sequence, kind, prefixHash } };
    this.#events = [...this.#events, timed].slice(-MAX_EVENTS);
  }
}

/**
 * Returns the hashes of a prompt's prefixes, one for each whole block.
 *
 * @example
 * ```ts
 * const hashes = listPrefixHashes(prompt);
 * ```
 * @param prompt - The prompt.
 */
export function listPrefixHashes(prompt: string): readonly string[] {
  const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
  return Array.from({ length: count }, (_, index) => {
    const prefix = prompt.slice(0, (index + 1) * BLOCK_CHARACTERS);
    return hashText(prefix).toString(16);
  });
}
