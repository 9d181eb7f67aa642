/**
 * The forms in which hosts tell each other of claims.
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

/** A claim. */
export const CLAIM: z.ZodType<ClaimStructure> = z.object({
  callId: z.string(),
  keyHash: z.string().regex(/^[0-9a-f]{32}$/),
  holder: z.string(),
  incarnation: z.number(),
  supersedes: z.string().exactOptional(),
});

/** What came of a claim. */
export const VERDICT: z.ZodType<ClaimVerdict> = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("won") }),
  z.object({ kind: z.literal("lost"), owner: CLAIM }),
  z.object({ kind: z.literal("repeated") }),
  z.object({ kind: z.literal("unsettled") }),
]);

/** The call that a host is asked about. */
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
 * Returns a report as plain data.
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
 * Returns the report in plain data, or undefined when there is none in it.
 *
 * @example
 * ```ts
 * const report = decodeReport(await peers.call(host, call));
 * ```
 * @param data - What a host answered.
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
