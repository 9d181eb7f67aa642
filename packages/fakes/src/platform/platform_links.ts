/**
 * The fault proxies between hosts, their callers, the store and the endpoints.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { FaultProxy, type LinkCut } from "./fault_proxy.ts";

/** The offset of a proxy's port from the port of its target. */
export const PROXY_PORT_OFFSET = 100;
/** The offset of the port of a host's own proxy to an endpoint from the endpoint's port. */
const HOST_PROXY_PORT_OFFSET = 200;

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
 * Returns the address at which a host reaches an endpoint through its own proxy.
 *
 * @example
 * ```ts
 * const address = getHostProxyAddress("127.0.0.2", { hostname: "127.0.0.1", port: 9000 });
 * ```
 * @param host - The IP address of the host.
 * @param endpoint - The address of the endpoint.
 */
export function getHostProxyAddress(
  host: string,
  endpoint: HttpAddress,
): HttpAddress {
  return { hostname: host, port: endpoint.port + HOST_PROXY_PORT_OFFSET };
}

/**
 * The fault proxies of a platform: one from each host to the store, one from
 * callers to each host, one to each endpoint, and before the latter one for each
 * host and endpoint.
 */
export class PlatformLinks {
  /** The proxies that any fault may strike. */
  readonly all: readonly FaultProxy[];
  /** The proxies of each host to the endpoints, by the host's number. */
  readonly endpointLinks: readonly (readonly FaultProxy[])[];

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
    this.endpointLinks = hosts.map(({ hostname }) =>
      endpoints.map((endpoint) =>
        new FaultProxy({
          listen: getHostProxyAddress(hostname, endpoint),
          target: getProxyAddress(endpoint),
        })
      )
    );
  }

  /**
   * Cuts one host from all endpoints.
   *
   * @param host - The host's number.
   * @param cut - How its links are cut.
   */
  suspendHost(host: number, cut: LinkCut): void {
    this.endpointLinks[host]?.forEach((link) => link.suspendLink(cut));
  }

  /**
   * Restores the links of one host to the endpoints.
   *
   * @param host - The host's number.
   */
  async resumeHost(host: number): Promise<void> {
    await Promise.all(
      (this.endpointLinks[host] ?? []).map((link) => link.resumeLink()),
    );
  }

  /** Starts all proxies. */
  async start(): Promise<void> {
    await Promise.all(
      [...this.all, ...this.endpointLinks.flat()].map((link) => link.start()),
    );
  }

  /** Closes all proxies and their connections. */
  close(): void {
    [...this.all, ...this.endpointLinks.flat()].forEach((link) => link.close());
  }
}
