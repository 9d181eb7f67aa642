/**
 * The proxies between hosts, their callers, the store and the endpoints.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { FaultProxy } from "./fault_proxy.ts";

/** How many ports after that of its target a proxy listens. */
export const PROXY_PORT_STEP = 100;

/** What the links of a platform lie between. */
export interface PlatformLinksOptions {
  readonly store: HttpAddress;
  /** Where each host takes calls. */
  readonly hosts: readonly HttpAddress[];
  readonly endpoints: readonly HttpAddress[];
}

/**
 * Returns the address at which a proxy of a target listens.
 *
 * @example
 * ```ts
 * const address = getProxyAddress({ hostname: "127.0.0.1", port: 9000 });
 * ```
 * @param target - The target.
 */
export function getProxyAddress(target: HttpAddress): HttpAddress {
  return { ...target, port: target.port + PROXY_PORT_STEP };
}

/** The proxies of a platform: one for each host's way to the store, each host's callers, each endpoint. */
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

  /** Begins to listen on all links. */
  async start(): Promise<void> {
    await Promise.all(this.all.map((link) => link.start()));
  }

  /** Ends all links. */
  close(): void {
    this.all.forEach((link) => link.close());
  }
}
