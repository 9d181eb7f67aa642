/**
 * Schemas and encodings of the messages about claims that hosts exchange.
 * @module
 */
import type {
  CallReport,
  RetainedAnswer,
} from "@briarhill/routing/claims/call_table";
import type {
  ClaimStructure,
  ClaimVerdict,
} from "@briarhill/routing/claims/claim_structure";
import { Buffer } from "node:buffer";
import { z } from "zod";

/** Schema of a claim. */
export const CLAIM: z.ZodType<ClaimStructure> = z.object({
  callId: z.string(),
  keyHash: z.string().regex(/^[0-9a-f]{32}$/),
  holder: z.string(),
  incarnation: z.number(),
  supersedes: z.string().exactOptional(),
});

/** Schema of the verdict on a claim. */
export const VERDICT: z.ZodType<ClaimVerdict> = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("won") }),
  z.object({ kind: z.literal("lost"), owner: CLAIM }),
  z.object({ kind: z.literal("repeated") }),
  z.object({ kind: z.literal("unsettled") }),
]);

/** Schema of a request for the report on a call. */
export const REPORT_INPUT = z.object({ callId: z.string() });

const REPORT = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("running") }),
  z.object({
    kind: z.literal("answered"),
    status: z.number(),
    headers: z.record(z.string(), z.string()),
    body: z.string(),
  }),
  z.object({
    kind: z.literal("ended"),
    outcome: z.enum(["not-run", "ran", "unknown"]),
  }),
]);

/**
 * Encodes a report as plain data; a response body is encoded as Base64.
 *
 * @example
 * ```ts
 * const plain = encodeReport(table.getReport(callId));
 * ```
 * @param report - The report.
 */
export function encodeReport(report: CallReport): unknown {
  if (report.kind !== "answered") {
    return report;
  }
  const { status, headers, body } = report.answer;
  const text = Buffer.from(body).toString("base64");
  return { kind: "answered", status, headers, body: text };
}

/**
 * Decodes a report. Returns undefined if the data is not a valid report.
 *
 * @example
 * ```ts
 * const report = decodeReport(await peers.call(host, call));
 * ```
 * @param data - The reply of a host.
 */
export function decodeReport(data: unknown): CallReport | undefined {
  const parsed = REPORT.safeParse(data);
  if (!parsed.success) {
    return undefined;
  }
  if (parsed.data.kind !== "answered") {
    return parsed.data;
  }
  const { status, headers, body } = parsed.data;
  const answer: RetainedAnswer = {
    status,
    headers,
    body: Buffer.from(body, "base64"),
  };
  return { kind: "answered", answer };
}
