/**
 * Judges whether the version spans of a sample are true: the stand-in engines
 * derive each token from prompt, seed, index and version.
 * @module
 */
import { computeToken, hashStream } from "@briarhill/fakes/engine/fake_text";
import type { GenerateRequest } from "@briarhill/ports/engine/engine";
import type { ReceivedSample } from "../trainer/trainer_client.ts";

interface LabelledText {
  readonly tokens: readonly string[];
  /** The version that each token is labelled with. */
  readonly versions: readonly number[];
}

/**
 * Tells whether each token is labelled, and some engine was asked for just
 * this text by these versions.
 *
 * @example
 * ```ts
 * const isTrue = hasTrueLabels(sample, requests);
 * ```
 * @param sample - The sample.
 * @param generated - All requests that engines received.
 */
export function hasTrueLabels(
  sample: ReceivedSample,
  generated: readonly GenerateRequest[],
): boolean {
  const tokens = sample.text.split(" ").filter((token) => token !== "");
  const versions = sample.spans.flatMap(({ fromToken, toToken, version }) =>
    Array.from({ length: toToken - fromToken }, () => version)
  );
  return tokens.length === versions.length &&
    generated.some((request) => canMake(request, { tokens, versions }));
}

function canMake(
  { prompt, sampling }: GenerateRequest,
  { tokens, versions }: LabelledText,
): boolean {
  const streamHash = hashStream(prompt, sampling.seed);
  return tokens.every((token, index) => {
    const version = versions[index] ?? -1;
    return computeToken({ streamHash, index, version }) === `${token} `;
  });
}
