/**
 * Queries all nodes concurrently. A node that fails does not affect the results
 * of the others.
 * @module
 */

/** The response of one node, or the error of the request. */
export interface NodeResponse<T> {
  readonly address: string;
  readonly answer: T | undefined;
  readonly error: string | undefined;
}

/**
 * Queries all nodes concurrently and returns one result for each, in their order.
 *
 * @example
 * ```ts
 * const responses = await fetchFromNodes(nodes, (node) => client.fetchStatus(node));
 * ```
 * @param nodes - The addresses of the nodes.
 * @param fetchOne - Queries the node at an address.
 */
export async function fetchFromNodes<T>(
  nodes: readonly string[],
  fetchOne: (address: string) => Promise<T>,
): Promise<readonly NodeResponse<T>[]> {
  const results = await Promise.allSettled(nodes.map(fetchOne));
  return results.map((result, index) => ({
    address: nodes[index] ?? "",
    answer: result.status === "fulfilled" ? result.value : undefined,
    error: result.status === "rejected" ? String(result.reason) : undefined,
  }));
}
