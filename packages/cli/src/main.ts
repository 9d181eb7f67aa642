/**
 * The entry point of the command `briarhill`.
 * @module
 */
import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpLogService } from "@briarhill/ports/log/http_log_service";
import process from "node:process";
import { createCli } from "./create_cli.ts";
import { HttpNodeClient } from "./operator/http_node_client.ts";

const interruption = new AbortController();
process.once("SIGINT", () => interruption.abort());
const code = await createCli().run(process.argv.slice(2), {
  clock: new SystemClock(),
  client: new HttpNodeClient(),
  signal: interruption.signal,
  openLog: (address) => new HttpLogService(address),
});
// Exits explicitly: idle keep-alive connections would keep the process running.
process.exit(code);
