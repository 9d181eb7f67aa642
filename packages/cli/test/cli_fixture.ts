/**
 * Runs the `briarhill` command against a fake log and fake nodes, without sockets.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { Clock, type Timer } from "@briarhill/common/time/clock";
import type { ConfigurationState } from "@briarhill/control/configuration/configuration_state";
import type { NodeStatus } from "@briarhill/control/configuration/node_status";
import { FakeLog } from "@briarhill/fakes/log/fake_log";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough, Writable } from "node:stream";
import { createCli } from "../src/create_cli.ts";
import { type HistogramRow, NodeClient } from "../src/operator/node_client.ts";

/** A clock whose timers fire immediately and advance the time by their delay. */
class SkippingClock extends Clock {
  #nowMs = 1_000;

  override getMonotonicMs(): number {
    return this.#nowMs;
  }

  override getWallMs(): number {
    return this.#nowMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setImmediate(() => {
      this.#nowMs += delayMs;
      callback();
    });
    return { cancel: () => clearImmediate(handle) };
  }
}

/** A client that returns the statuses that a test has set. */
class FakeNodeClient extends NodeClient {
  readonly statuses = new Map<string, NodeStatus>();

  override fetchStatus(address: string): Promise<NodeStatus> {
    const status = this.statuses.get(address);
    return status === undefined
      ? Promise.reject(
        new PortError(`cannot fetch the status of ${address}: unreachable`),
      )
      : Promise.resolve(status);
  }

  override fetchHistograms(): Promise<readonly HistogramRow[]> {
    return Promise.resolve([]);
  }

  override fetchConfiguration(): Promise<ConfigurationState | undefined> {
    return Promise.resolve(undefined);
  }
}

/** The exit code of a command and the last document that it printed. */
export interface CliResult {
  readonly code: number;
  readonly data: Record<string, unknown>;
}

/** The `briarhill` command with fakes of the log and the nodes. */
export class CliFixture {
  readonly clock = new SkippingClock();
  readonly log = new FakeLog(this.clock);
  readonly client = new FakeNodeClient();
  readonly #folder = mkdtempSync(join(tmpdir(), "briarhill-cli-"));

  writeFile(name: string, text: string): string {
    const path = join(this.#folder, name);
    writeFileSync(path, text);
    return path;
  }

  addNode(
    address: string,
    status: { readonly revision: number; readonly members?: readonly string[] },
  ): void {
    this.client.statuses.set(address, {
      host: address.replace("http://", ""),
      region: "r",
      failureDomain: "d",
      incarnation: 1,
      revision: status.revision,
      sha256: "",
      ready: true,
      accepting: true,
      customers: [],
      drains: [],
      members: (status.members ?? []).map((host) => ({
        host,
        incarnation: 1,
        address: "",
        state: "alive",
      })),
    });
  }

  /** Runs a command with --json and parses the last line that it prints. */
  async run(...args: readonly string[]): Promise<CliResult> {
    let text = "";
    const stdout = new Writable({
      write: (chunk, _encoding, done) => {
        text += String(chunk);
        done();
      },
    });
    const code = await createCli().run([...args, "--json"], {
      clock: this.clock,
      client: this.client,
      signal: new AbortController().signal,
      openLog: () => this.log,
      env: { BRIARHILL_LOG: "http://log" },
      stdin: new PassThrough(),
      stdout,
      stderr: new PassThrough(),
      colorDepth: 1,
    });
    const lines = text.trim().split("\n");
    return { code, data: parseLine(lines.at(-1) ?? "") };
  }
}

function parseLine(line: string): Record<string, unknown> {
  return line.startsWith("{") || line.startsWith("[") ? JSON.parse(line) : {};
}
