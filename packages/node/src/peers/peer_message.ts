/**
 * Validates messages and replies of peers against a schema before they are used.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { parseInput } from "@briarhill/common/input/parse_input";
import type { z } from "zod";

/**
 * Returns a peer's message after validation. Throws an `InputError` if it does
 * not match the schema, before anything has been run.
 *
 * @example
 * ```ts
 * const { callId } = parseMessage(input, REPORT_INPUT);
 * ```
 * @param input - The message as received.
 * @param schema - The schema that the message must match.
 */
export function parseMessage<T extends z.ZodType>(
  input: unknown,
  schema: T,
): z.output<T> {
  return parseInput(input, { schema, name: "the peer's message" });
}

/** The schema of a peer's reply, and the operation that it belongs to. */
export interface ExpectedReply<T extends z.ZodType> {
  readonly schema: T;
  readonly operation: string;
}

/**
 * Returns a peer's reply after validation. Throws a `PortError` with outcome
 * `unknown` if it does not match the schema, as the call may have run.
 *
 * @example
 * ```ts
 * const reply = parseReply(response, { schema: PULL_REPLY, operation: "lots.pull" });
 * ```
 * @param reply - The reply as received.
 * @param expected - The schema that the reply must match, and the operation.
 */
export function parseReply<T extends z.ZodType>(
  reply: unknown,
  { schema, operation }: ExpectedReply<T>,
): z.output<T> {
  const result = schema.safeParse(reply);
  if (result.success) {
    return result.data;
  }
  const path = result.error.issues[0]?.path.join(".") ?? "";
  throw new PortError(
    `reply of a peer to "${operation}" does not match its schema at "${path}"`,
    {
      props: {
        port: "peers",
        operation,
        fault: "malformed",
        outcome: "unknown",
      },
    },
  );
}
