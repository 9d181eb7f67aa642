/**
 * Waits until a revision is in force on every member. A member counts as up to
 * date only when its own status shows it.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { NodeStatus } from "@briarhill/control/configuration/node_status";
import type { NodeClient } from "./node_client.ts";

const POLL_INTERVAL_MS = 250;

/** A member that is not known to have the revision in force. */
export interface LaggingMember {
  /** The host, or the address of a node that did not respond. */
  readonly name: string;
  /**
   * "behind": an older revision is in force; "silent": the node did not respond;
   * "not-asked": the nodes list this member, but its own status was not fetched.
   */
  readonly reason: "behind" | "silent" | "not-asked";
  /** The revision that the node has in force; undefined when it is unknown. */
  readonly revision: number | undefined;
}

/** Options of {@link waitUntilInForce}. */
export interface WaitOptions {
  readonly nodes: readonly string[];
  readonly revision: number;
  readonly timeoutMs: number;
}

/**
 * Polls all nodes until the revision is in force on each, and returns the members
 * that lag at the timeout. A member that the nodes list and that was not queried
 * counts as lagging, since nothing shows that it has the revision.
 *
 * @example
 * ```ts
 * const lagging = await waitUntilInForce({ client, clock }, { nodes, revision: 9, timeoutMs: 15_000 });
 * ```
 * @param context - The client and the clock.
 * @param options - The nodes, the revision and the timeout.
 */
export async function waitUntilInForce(
  context: { readonly client: NodeClient; readonly clock: Clock },
  options: WaitOptions,
): Promise<readonly LaggingMember[]> {
  const timeoutAtMs = context.clock.getMonotonicMs() + options.timeoutMs;
  for (;;) {
    const lagging = await listLaggingMembers(context.client, options);
    if (lagging.length === 0 || context.clock.getMonotonicMs() >= timeoutAtMs) {
      return lagging;
    }
    await context.clock.sleep(POLL_INTERVAL_MS);
  }
}

async function listLaggingMembers(
  client: NodeClient,
  options: WaitOptions,
): Promise<readonly LaggingMember[]> {
  const results = await Promise.allSettled(
    options.nodes.map((node) => client.fetchStatus(node)),
  );
  const statuses: NodeStatus[] = [];
  const lagging: LaggingMember[] = [];
  for (const [index, result] of results.entries()) {
    if (result.status === "rejected") {
      const name = options.nodes[index] ?? "";
      lagging.push({ name, reason: "silent", revision: undefined });
    } else {
      statuses.push(result.value);
    }
  }
  const behind = statuses
    .filter(({ revision }) => revision < options.revision)
    .map(({ host: name, revision }) =>
      ({ name, reason: "behind", revision }) as const
    );
  return [...lagging, ...behind, ...listMembersNotQueried(statuses)];
}

function listMembersNotQueried(
  statuses: readonly NodeStatus[],
): readonly LaggingMember[] {
  const queried = new Set(statuses.map(({ host }) => host));
  const listed = statuses.flatMap(({ members }) => members)
    .filter(({ state }) => state !== "failed")
    .map(({ host }) => host);
  return [...new Set(listed)].filter((host) => !queried.has(host)).map((
    name,
  ) => ({
    name,
    reason: "not-asked",
    revision: undefined,
  }));
}
