/**
 * Runs only the peer network of one host and reports its costs on request.
 * @module
 */
import { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { DEFAULT_MEMBERSHIP_OPTIONS } from "@briarhill/control/membership/membership_options";
import { TrpcPeerNetwork } from "@briarhill/node/peers/trpc_peer_network";
import process from "node:process";
import { createInterface } from "node:readline";
import type { PeerReport } from "./peer_report.ts";

const [index = "0", seed = "0", ...seeds] = process.argv.slice(2);
const network = new TrpcPeerNetwork({
  host: `entry-${index}`,
  failureDomain: `domain-${Number(index) % 7}`,
  region: `region-${Number(index) % 3}`,
  listen: { address: "127.0.0.1", port: 0 },
  seeds,
  keys: ["the shared key of the bench"],
  clock: new SystemClock(),
  random: new SeededRandom(Number(seed) + Number(index)),
  logger: Logger.create({}),
  options: DEFAULT_MEMBERSHIP_OPTIONS,
});

function readHeapBytes(): number {
  (globalThis as { readonly gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}

const heapBefore = readHeapBytes();

function createReport(): PeerReport {
  const { user, system } = process.cpuUsage();
  const alive = network.getMembers()
    .filter(({ state }) => state === "alive").length;
  return {
    ...network.getTraffic(),
    alive,
    links: network.countLinks(),
    cpuUs: user + system,
    heapBytes: readHeapBytes() - heapBefore,
    rssBytes: process.memoryUsage().rss,
  };
}

process.stdout.write(`${await network.start()}\n`);
createInterface({ input: process.stdin })
  .on("line", (line) => {
    if (line === "report") {
      process.stdout.write(JSON.stringify(createReport()) + "\n");
    }
  })
  .on("close", () => process.exit(0));
