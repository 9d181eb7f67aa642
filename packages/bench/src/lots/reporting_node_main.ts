/**
 * Entry point of a process that runs a node and writes its resource usage for
 * each line on standard input.
 * @module
 */
import { createNode } from "@briarhill/node/node/create_node";
import { readSettingsFile } from "@briarhill/node/settings/settings_file";
import type { HistogramSummary } from "@briarhill/common/metrics/histogram_registry";
import process from "node:process";
import { createInterface } from "node:readline";
import { request } from "undici";
import type { NodeReport } from "./node_report.ts";

const BYTES_PER_MB = 1_048_576;
const US_PER_MS = 1000;

const node = createNode(readSettingsFile(process.argv[2] ?? ""));
const { admin } = await node.start();

async function createReport(): Promise<NodeReport> {
  const { user, system } = process.cpuUsage();
  const response = await request(`http://127.0.0.1:${admin}/histograms`);
  const summaries = await response.body.json() as readonly HistogramSummary[];
  const lengths = summaries.find(({ metric, requestClass }) =>
    metric === "call_tokens" && requestClass === "rollout"
  );
  const { count = 0, mean = 0 } = lengths ?? {};
  return {
    traffic: node.getPeerTraffic(),
    cpuMs: (user + system) / US_PER_MS,
    residentMb: process.memoryUsage().rss / BYTES_PER_MB,
    streams: count,
    tokens: Math.round(count * mean),
  };
}

process.stdout.write(`${admin}\n`);
createInterface({ input: process.stdin })
  .on("line", async () => {
    process.stdout.write(JSON.stringify(await createReport()) + "\n");
  })
  .on("close", () => process.exit(0));
