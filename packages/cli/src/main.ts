/**
 * The command `briarhill`.
 * @module
 */
import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpLogService } from "@briarhill/ports/log/http_log_service";
import process from "node:process";
import { createCli } from "./create_cli.ts";
import { HttpNodeClient } from "./operator/http_node_client.ts";

const interrupted = new AbortController();
process.once("SIGINT", () => interrupted.abort());
const code = await createCli().run(process.argv.slice(2), {
  clock: new SystemClock(),
  client: new HttpNodeClient(),
  signal: interrupted.signal,
  openLog: (address) => new HttpLogService(address),
});
// Connections that are kept alive would hold the process.
process.exit(code);
