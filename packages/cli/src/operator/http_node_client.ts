/**
 * Queries the admin endpoints of nodes over HTTP and validates the responses.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { ConfigurationState } from "@briarhill/control/configuration/configuration_state";
import {
  NODE_STATUS,
  type NodeStatus,
} from "@briarhill/control/configuration/node_status";
import { decodeNewestSnapshot } from "@briarhill/control/snapshots/snapshot";
import { HttpClient } from "@briarhill/ports/http/http_client";
import { z } from "zod";
import { type HistogramRow, HISTOGRAMS, NodeClient } from "./node_client.ts";

const REQUEST_TIMEOUT_MS = 3_000;

/** Queries nodes over HTTP. */
export class HttpNodeClient extends NodeClient {
  override fetchStatus(address: string): Promise<NodeStatus> {
    return fetchJson(`${address}/control/status`, NODE_STATUS);
  }

  override fetchHistograms(
    address: string,
  ): Promise<readonly HistogramRow[]> {
    return fetchJson(`${address}/histograms`, HISTOGRAMS);
  }

  override async fetchConfiguration(
    address: string,
  ): Promise<ConfigurationState | undefined> {
    const schema = z.array(z.unknown());
    const parts = await fetchJson(`${address}/control/configuration`, schema);
    return decodeNewestSnapshot(parts.map((part) => JSON.stringify(part)));
  }
}

async function fetchJson<T extends z.ZodType>(
  url: string,
  schema: T,
): Promise<z.output<T>> {
  const { pathname, search, origin } = new URL(url);
  const client = new HttpClient("node", origin, {
    firstByteTimeoutMs: REQUEST_TIMEOUT_MS,
    progressTimeoutMs: REQUEST_TIMEOUT_MS,
  });
  try {
    return await client.fetchJson({
      operation: "fetch",
      method: "GET",
      path: pathname + search,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    }, schema);
  } catch (cause) {
    throw new PortError(
      `cannot fetch ${url}; check the address and that the node is running`,
      {
        cause,
        props: { port: "node", operation: "fetch", fault: "refused" },
      },
    );
  } finally {
    await client.abort();
  }
}
