/**
 * Lots and their results as trainers send and read them.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type {
  LotRequest,
  SampleRequest,
  SampleResult,
  ScoringRequest,
} from "@briarhill/rollout/ledger/lot_request";
import { Buffer } from "node:buffer";
import { LENGTH_HINT, TOKEN_USAGE } from "../names/headers.ts";
import { FieldReader } from "../records/field_reader.ts";

/** Keys of the shared log are short, and ids are part of them. */
const MAX_ID_LENGTH = 120;
const ID = /^[\x21-\x7b\x7d\x7e]+$/;

/** Where and when a lot was handed in. */
export interface HandIn {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly acceptedAtMs: number;
}

/**
 * Decodes the body of a hand-in.
 *
 * @example
 * ```ts
 * const body = Buffer.from('{"step":0,"model":"m","minVersion":1,"batchSize":1,"items":[]}');
 * const lot = decodeLot(body, { id: "a", host: "h", path: "/p/a", acceptedAtMs: 0 });
 * ```
 * @param body - The body.
 * @param handIn - Where and when the lot was handed in.
 */
export function decodeLot(body: Buffer, handIn: HandIn): LotRequest {
  const { id } = handIn;
  if (!isId(id)) {
    throw new InputError(
      `the lot's id has ${id.length} characters, expected 1 to ${MAX_ID_LENGTH} without spaces or "|"`,
    );
  }
  const fields = FieldReader.parse("the lot", body);
  const samples = fields.listObjects("items").map(decodeSample);
  if (new Set(samples.map((sample) => sample.id)).size < samples.length) {
    throw new InputError("an item's id stands twice");
  }
  return {
    id,
    host: handIn.host,
    path: handIn.path,
    acceptedAtMs: handIn.acceptedAtMs,
    model: fields.getText("model", ""),
    minVersion: fields.getInteger("minVersion", 0),
    // How many whole groups the trainer waits for, not the number of items.
    wantedGroups: fields.getInteger("batchSize", 0),
    samples,
  };
}

function isId(text: string): boolean {
  return text.length <= MAX_ID_LENGTH && ID.test(text);
}

function decodeSample(fields: FieldReader): SampleRequest {
  const headers = fields.listTextEntries("headers");
  const scoring = fields.getObject("scorer");
  return {
    id: fields.getText("id"),
    path: fields.getText("path"),
    headers,
    body: fields.getText("body", ""),
    group: fields.getText("group", fields.getText("id")),
    expectedTokens: getExpectedTokens(headers),
    ...(scoring === undefined ? {} : { scoring: decodeScoring(scoring) }),
  };
}

function decodeScoring(fields: FieldReader): ScoringRequest {
  return {
    id: fields.getText("id"),
    host: fields.getText("host"),
    path: fields.getText("path"),
    body: fields.getText("body", ""),
  };
}

/** The caller's hint, or else the bound on output tokens. */
function getExpectedTokens(
  headers: readonly (readonly [string, string])[],
): number {
  const getValue = (name: string) =>
    headers.find(([key]) => key.toLowerCase() === name.toLowerCase())?.[1] ??
      "";
  const hint = Number(getValue(LENGTH_HINT));
  if (hint > 0) {
    return hint;
  }
  const bound = Number(getValue(TOKEN_USAGE).split(",")[1]);
  return bound > 0 ? bound : 0;
}

/** The most bytes of results in one answer (a bound of the platform). */
const MAX_RESULT_BYTES = 1_000_000;

/**
 * Returns the answer to a read of results.
 *
 * @example
 * ```ts
 * const body = encodeResultPage([], { total: 4, after: 0 });
 * ```
 * @param results - All settled results of the lot.
 * @param page - The number of samples, and the first position wanted.
 */
export function encodeResultPage(
  results: readonly SampleResult[],
  page: { readonly total: number; readonly after: number },
): Buffer {
  const texts: string[] = [];
  let bytes = 0;
  for (const result of results.slice(page.after)) {
    const text = JSON.stringify(encodeResult(result));
    bytes += Buffer.byteLength(text) + 1;
    if (texts.length > 0 && bytes > MAX_RESULT_BYTES) {
      break;
    }
    texts.push(text);
  }
  const next = page.after + texts.length;
  return Buffer.from(
    `{"total":${page.total},"next":${next},"results":[${texts.join(",")}]}`,
  );
}

function encodeResult(result: SampleResult): Record<string, unknown> {
  return {
    id: result.sample,
    state: result.state === "completed" ? "completed" : "dead_lettered",
    output: result.text,
    versions: result.versions,
    ...(result.score === "" ? {} : { score: result.score }),
  };
}
