/**
 * Implements the quickstart command.
 * @module
 */
import process from "node:process";
import { LiveCaller } from "../caller/live_caller.ts";
import { Quickstart } from "./quickstart.ts";
import { formatReport, isReportSound } from "./report_format.ts";

const report = await new Quickstart((key) => new LiveCaller(key)).run();
process.stdout.write(formatReport(report));
process.exit(isReportSound(report) ? 0 : 1);
