/**
 * Decodes the lots that trainers submit and encodes the results that they read.
 * The field names belong to the platform's interface and must not change.
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
import { ATTEMPT_ID, LENGTH_HINT, TOKEN_USAGE } from "../names/headers.ts";
import {
  encodeHeaderValue,
  throwIfNoHeader,
  throwIfNoPath,
} from "./header_text.ts";
import { FieldReader } from "../records/field_reader.ts";

/** Lot ids are part of keys of the shared log, which holds keys of at most 255 bytes. */
const MAX_ID_LENGTH = 120;
const ID = /^[\x21-\x7b\x7d\x7e]+$/;

/** Where and when a lot was submitted. */
export interface LotSubmission {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** The name of the workspace that submits it, if requests need a key. */
  readonly workspace?: string;
  readonly acceptedAtMs: number;
}

/**
 * Decodes the body of a lot submission.
 *
 * @example
 * ```ts
 * const body = Buffer.from('{"step":0,"model":"m","minVersion":1,"batchSize":1,"items":[]}');
 * const lot = decodeLot(body, { id: "a", host: "h", path: "/p/a", acceptedAtMs: 0 });
 * ```
 * @param body - The request body.
 * @param submission - Where and when the lot was submitted.
 */
export function decodeLot(body: Buffer, submission: LotSubmission): LotRequest {
  const { id } = submission;
  if (!isId(id)) {
    throw new InputError(
      `lot id of ${id.length} characters is invalid, expected 1 to ${MAX_ID_LENGTH} printable ASCII characters without spaces or "|"`,
    );
  }
  const fields = FieldReader.parse("the lot", body);
  const samples = fields.listObjects("items").map(decodeSample);
  if (new Set(samples.map((sample) => sample.id)).size < samples.length) {
    throw new InputError("lot contains two items with the same id");
  }
  return {
    id,
    host: submission.host,
    path: submission.path,
    ...(submission.workspace === undefined
      ? {}
      : { workspace: submission.workspace }),
    acceptedAtMs: submission.acceptedAtMs,
    model: fields.getText("model", ""),
    minVersion: fields.getInteger("minVersion", 0),
    // The number of complete groups that the trainer waits for, not of items.
    wantedGroups: fields.getInteger("batchSize", 0),
    samples,
  };
}

function isId(text: string): boolean {
  return text.length <= MAX_ID_LENGTH && ID.test(text);
}

function decodeSample(fields: FieldReader): SampleRequest {
  const headers = fields.listTextEntries("headers").map((
    [name, value],
  ) => [name, encodeHeaderValue(value)] as const);
  headers.forEach(([name, value]) => throwIfNoHeader(name, value));
  const scoring = fields.getObject("scorer");
  return {
    ...decodeTarget(fields),
    headers,
    body: fields.getText("body", ""),
    group: fields.getText("group", fields.getText("id")),
    expectedTokens: getExpectedTokens(headers),
    ...(scoring === undefined ? {} : { scoring: decodeScoring(scoring) }),
  };
}

function decodeScoring(fields: FieldReader): ScoringRequest {
  const host = fields.getText("host");
  throwIfNoHeader("Host", host);
  return { ...decodeTarget(fields), host, body: fields.getText("body", "") };
}

/** Decodes what becomes the attempt id and the path of a request. */
function decodeTarget(
  fields: FieldReader,
): { readonly id: string; readonly path: string } {
  const id = fields.getText("id");
  const path = fields.getText("path");
  throwIfNoHeader(ATTEMPT_ID, id);
  throwIfNoPath(path);
  return { id, path };
}

/** Returns the caller's length hint, else the maximum number of output tokens, else 0. */
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

/** Maximum size of the results in one response, in bytes (a limit of the platform). */
const MAX_RESULT_BYTES = 1_000_000;

/**
 * Returns the response body of a read of results. It holds at least one result
 * if there is one, even if that exceeds the size limit.
 *
 * @example
 * ```ts
 * const body = encodeResultPage([], { total: 4, after: 0 });
 * ```
 * @param results - All settled results of the lot; the index is the position.
 * @param page - The number of samples in the lot, and the first position to return.
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
