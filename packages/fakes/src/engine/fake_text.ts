/**
 * Text that follows from a seed, so that every token of an answer can be
 * checked.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { WeightVersion } from "@briarhill/common/ids/ids";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const SYLLABLES: readonly string[] = [
  "alba",
  "brisa",
  "cima",
  "duna",
  "este",
  "flor",
  "gala",
  "hoja",
  "isla",
  "jara",
  "kora",
  "luna",
  "mar",
  "nube",
  "olmo",
  "paz",
  "quena",
  "rio",
  "sol",
  "tala",
  "ula",
  "valle",
  "wara",
  "xue",
  "yuca",
  "zafra",
  "arce",
  "bosque",
  "cauce",
  "delta",
  "eje",
  "faro",
];

/** What a token follows from. */
export interface TokenSource {
  /** The hash of the stream, from {@link hashStream}. */
  readonly streamHash: number;
  readonly index: number;
  readonly version: WeightVersion;
}

/** What the length of an answer follows from. */
export interface LengthSource {
  readonly streamHash: number;
  readonly medianTokens: number;
  /** The standard deviation of the length's logarithm. */
  readonly sigma: number;
}

/**
 * Returns a hash of a text (FNV-1a, 32 bits).
 *
 * @example
 * ```ts
 * hashText("a prompt");
 * ```
 * @param text - The text.
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Returns the hash that all tokens of an answer follow from.
 *
 * @example
 * ```ts
 * const streamHash = hashStream("a prompt", 7);
 * ```
 * @param prompt - The prompt, without any prefix.
 * @param seed - The seed of the sampling.
 */
export function hashStream(prompt: string, seed = 0): number {
  return hashText(`${seed}\n${prompt}`);
}

/**
 * Returns one token; the version of the weights shows in it.
 *
 * @example
 * ```ts
 * const token = computeToken({ streamHash, index: 0, version: 3 });
 * ```
 * @param source - What the token follows from.
 */
export function computeToken(source: TokenSource): string {
  const { streamHash, index, version } = source;
  const hash = hashText(`${streamHash}/${index}/${version}`);
  const first = SYLLABLES[hash % SYLLABLES.length];
  const second = SYLLABLES[(hash >>> 8) % SYLLABLES.length];
  return `${first}${second} `;
}

/**
 * Returns how many tokens an answer has if nothing limits it.
 *
 * @example
 * ```ts
 * const length = computeLength({ streamHash, medianTokens: 64, sigma: 0.8 });
 * ```
 * @param source - What the length follows from.
 */
export function computeLength(source: LengthSource): number {
  const random = new SeededRandom(source.streamHash | 0);
  const length = random.getLogNormal(source.medianTokens, source.sigma);
  return Math.max(1, Math.round(length));
}
