/**
 * The fault proxies between hosts, their callers, the store and the endpoints.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { FaultProxy } from "./fault_proxy.ts";

/** The offset of a proxy's port from the port of its target. */
export const PROXY_PORT_OFFSET = 100;

/** Options of {@link PlatformLinks}. */
export interface PlatformLinksOptions {
  readonly store: HttpAddress;
  /** The addresses at which hosts accept calls. */
  readonly hosts: readonly HttpAddress[];
  readonly endpoints: readonly HttpAddress[];
}

/**
 * Returns the address that the proxy of a target listens on.
 *
 * @example
 * ```ts
 * const address = getProxyAddress({ hostname: "127.0.0.1", port: 9000 });
 * ```
 * @param target - The address of the target.
 */
export function getProxyAddress(target: HttpAddress): HttpAddress {
  return { ...target, port: target.port + PROXY_PORT_OFFSET };
}

/**
 * The fault proxies of a platform: one from each host to the store, one from
 * callers to each host, one to each endpoint.
 */
export class PlatformLinks {
  readonly all: readonly FaultProxy[];

  constructor({ store, hosts, endpoints }: PlatformLinksOptions) {
    const storeLinks = hosts.map(({ hostname }) =>
      new FaultProxy({
        listen: getProxyAddress({ hostname, port: store.port }),
        target: store,
        localAddress: hostname,
      })
    );
    const targetLinks = [...hosts, ...endpoints].map((target) =>
      new FaultProxy({ listen: getProxyAddress(target), target })
    );
    this.all = [...storeLinks, ...targetLinks];
  }

  /** Starts all proxies. */
  async start(): Promise<void> {
    await Promise.all(this.all.map((link) => link.start()));
  }

  /** Closes all proxies and their connections. */
  close(): void {
    this.all.forEach((link) => link.close());
  }
}
