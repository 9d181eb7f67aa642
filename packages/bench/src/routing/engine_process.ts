/**
 * Entry point of the process that runs the stand-ins of the live bench. Exits
 * when its standard input ends.
 * @module
 */
import { startStandIns } from "@briarhill/fakes/standins/stand_ins";
import { once } from "node:events";
import process from "node:process";
import { publishContract } from "../nodes/publish_contract.ts";
import { LIVE_CONTRACT, LIVE_MODEL } from "./live_contract.ts";

const ENGINES = 8;

const standIns = await startStandIns({
  engines: ENGINES,
  models: { [LIVE_MODEL]: 1 },
  services: ["echo"],
  hostListLagMs: 0,
  engine: {
    slots: 64,
    stepMs: 12,
    stepMsPerRequest: 0.05,
    medianTokens: 1_000_000,
    loadReportLagMs: 300,
  },
});
await publishContract(standIns.log, {
  file: "live.ini",
  text: LIVE_CONTRACT,
});
process.stdout.write(JSON.stringify(standIns.getAddresses()) + "\n");
process.stdin.resume();
await once(process.stdin, "end");
process.exit(0);
