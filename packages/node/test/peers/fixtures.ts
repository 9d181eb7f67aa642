/**
 * Creates peer networks on loopback for tests.
 * @module
 */
import { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { DEFAULT_MEMBERSHIP_OPTIONS } from "@briarhill/control/membership/membership_options";
import { FastClock } from "./fast_clock.ts";
import type { PeerNetworkSetup } from "../../src/peers/peer_network_setup.ts";
import { TrpcPeerNetwork } from "../../src/peers/trpc_peer_network.ts";

const WAIT_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 20;

const created: TrpcPeerNetwork[] = [];

/** Creates a host's peer network, with defaults for the options that a test omits. */
export function createNetwork(
  overrides: Partial<PeerNetworkSetup> = {},
): TrpcPeerNetwork {
  const network = new TrpcPeerNetwork({
    host: "host-0",
    failureDomain: "north",
    region: "east",
    listen: { address: "127.0.0.1", port: 0 },
    seeds: [],
    keys: ["a key of at least 16 characters"],
    clock: new FastClock(),
    random: new SeededRandom(1),
    logger: Logger.create({}),
    options: DEFAULT_MEMBERSHIP_OPTIONS,
    ...overrides,
  });
  created.push(network);
  return network;
}

/** Stops all networks that the current test has created. */
export async function stopCreatedNetworks(): Promise<void> {
  await Promise.all(created.splice(0).map((network) => network.stop()));
}

/** Waits until a condition holds or the timeout expires, and returns whether it holds. */
export async function waitUntil(condition: () => boolean): Promise<boolean> {
  const clock = new SystemClock();
  const deadlineMs = clock.getMonotonicMs() + WAIT_TIMEOUT_MS;
  while (!condition() && clock.getMonotonicMs() < deadlineMs) {
    await clock.sleep(POLL_INTERVAL_MS);
  }
  return condition();
}
