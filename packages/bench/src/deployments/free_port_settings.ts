/**
 * Replaces the ports of a deployment's nodes by free loopback ports.
 * @module
 */
import type { StandInAddresses } from "@briarhill/fakes/standins/stand_ins";
import type {
  ListenAddress,
  NodeSettings,
} from "@briarhill/node/settings/node_settings";
import { findFreePorts } from "../nodes/free_ports.ts";

/**
 * Returns the settings of nodes with each port replaced by a free one.
 *
 * @example
 * ```ts
 * const nodes = await setFreePorts(files.nodes, standIns.getAddresses());
 * ```
 * @param nodes - The settings of the nodes, without a repeated loopback port.
 * @param platform - The listen addresses of the stand-ins.
 */
export async function setFreePorts(
  nodes: readonly NodeSettings[],
  platform: StandInAddresses,
): Promise<readonly NodeSettings[]> {
  const used = nodes.flatMap(({ callers, peers, admin }) =>
    [callers, peers, admin].map(({ port }) => port)
  );
  const free = await findFreePorts(used.length);
  const ports = new Map(
    used.map((port, index) => [String(port), free[index] ?? port]),
  );
  const getPort = (port: number | string) =>
    ports.get(String(port)) ?? Number(port);
  const applyFreePort = (listen: ListenAddress) => ({
    ...listen,
    port: getPort(listen.port),
  });
  return nodes.map((node) => ({
    ...node,
    callers: applyFreePort(node.callers),
    peers: applyFreePort(node.peers),
    admin: applyFreePort(node.admin),
    platform: {
      log: platform.log,
      hostList: platform.hosts,
      weightStore: platform.weights,
    },
    seeds: node.seeds.map((seed) =>
      seed.replace(/\d+$/, (port) => String(getPort(port)))
    ),
  }));
}
