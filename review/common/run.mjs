/**
 * Runs one case: starts hosts with the command of the deploy file, records what
 * happens, and ends everything that was started.
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createHostSettings } from "../../packages/fakes/dist/src/platform/host_settings_text.js";
import { StoreStandIn } from "../../packages/fakes/dist/src/platform/store_stand_in.js";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const SETTINGS_VARIABLE = "BRIARHILL_NODE_FILE";
const STORE_IP = "127.0.0.1";
/** Ports of one host: callers, health, peers and metrics. */
const PORTS_PER_HOST = 4;
/** The short delay after which a process that has exited is started again. */
const RESTART_DELAY_MS = 1_500;
/** A case ends by itself before its limit of 120 s. */
const MAX_RUN_MS = 110_000;

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the disruption of the case is brought about. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** The command of the entry role in the deploy file, split as the platform splits it. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

function isFree(port, hostname) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, hostname, () => server.close(() => resolve(true)));
  });
}

/** Returns the first of `count` ports that are free on all addresses. */
async function findPorts(count, hostnames) {
  for (let tries = 0; tries < 50; tries++) {
    const base = 21_000 + Math.floor(Math.random() * 9_000);
    const checks = [];
    for (let port = base; port < base + count; port++) {
      checks.push(...hostnames.map((hostname) => isFree(port, hostname)));
    }
    if ((await Promise.all(checks)).every(Boolean)) {
      return base;
    }
  }
  throw new Error("no free ports");
}

/** One host, which runs as a process of its own. */
export class Host {
  constructor(run, number) {
    this.run = run;
    this.name = `host-${number}`;
    this.ip = `127.0.0.${number + 2}`;
    this.port = run.base + 1;
    /** When each of its processes was started. */
    this.startsMs = [];
    this.exits = [];
    this.output = "";
  }

  start() {
    const [program, ...args] = readCommand();
    const path = join(this.run.folder, `${this.name}.ini`);
    writeFileSync(
      path,
      createHostSettings({
        name: this.name,
        ip: this.ip,
        store: this.storeAddress ?? `${STORE_IP}:${this.run.base}`,
        port: this.port,
      }),
    );
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, [SETTINGS_VARIABLE]: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    this.startsMs.push(Date.now());
    child.stdout.on("data", () => undefined);
    child.stderr.on("data", (bytes) => {
      this.output += String(bytes).replaceAll(ROOT, "");
    });
    this.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.exits.push({ atMs: Date.now(), code, signal });
        this.run.write("host-exit", { host: this.name, code, signal });
        resolve();
      })
    );
    this.run.write("host-start", { host: this.name, pid: child.pid });
  }

  /** Starts the process, and again after a short delay whenever it has exited by itself. */
  async supervise(isOver) {
    while (!isOver()) {
      this.start();
      await this.exited;
      await sleep(RESTART_DELAY_MS);
    }
  }

  signal(name) {
    this.run.write("signal", { host: this.name, signal: name });
    this.child.kill(name);
  }
}

/** One run of a case. */
export class Run {
  /**
   * @param url - The URL of the module of the case; its folder gets the record.
   */
  constructor(url) {
    this.record = join(dirname(fileURLToPath(url)), "record.txt");
    this.lines = [];
    this.startedAtMs = Date.now();
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.hosts = [];
    this.store = new StoreStandIn();
    this.closers = [() => this.store.close()];
    this.write("case", { trouble: HAS_TROUBLE });
  }

  /** Adds a line to the record: seconds since the start, what happened, details. */
  write(what, details = {}) {
    const atS = ((Date.now() - this.startedAtMs) / 1000).toFixed(3);
    const text = JSON.stringify(details).replaceAll(ROOT, "");
    this.lines.push(`${atS.padStart(8)} ${what} ${text}`);
  }

  /** Starts the store and creates the hosts; `ports` more ports are left free for the case. */
  async open({ hosts, ports }) {
    const ips = Array.from({ length: hosts }, (_, n) => `127.0.0.${n + 2}`);
    const count = 1 + PORTS_PER_HOST + ports;
    this.base = await findPorts(count, [STORE_IP, ...ips]);
    this.firstFreePort = this.base + 1 + PORTS_PER_HOST;
    await this.store.start(STORE_IP, this.base);
    this.hosts = ips.map((_, number) => new Host(this, number));
  }

  /** Resolves when a condition holds; rejects after a timeout. */
  async waitFor(what, condition, timeoutMs = 20_000) {
    const endMs = Date.now() + timeoutMs;
    while (!await condition()) {
      if (Date.now() > endMs) {
        throw new Error(`timed out: ${what}`);
      }
      await sleep(20);
    }
  }

  /** Ends all processes, writes the record and exits. */
  async close(code, verdict) {
    for (const { child } of this.hosts) {
      child?.kill("SIGKILL");
    }
    await Promise.all(this.hosts.map(({ exited }) => exited));
    this.closers.forEach((closer) => closer());
    rmSync(this.folder, { recursive: true, force: true });
    this.write("verdict", { code, verdict });
    writeFileSync(this.record, `${this.lines.join("\n")}\n`);
    process.stdout.write(`${verdict}\n`);
    process.exit(code);
  }
}

/**
 * Runs a case and exits with its result: 0 if the rule held, 1 if it was broken,
 * 2 if the case could not run.
 */
export async function runCase(url, body) {
  const run = new Run(url);
  const timer = setTimeout(
    () => run.close(NOT_RUN, "the case did not end in time"),
    MAX_RUN_MS,
  );
  timer.unref();
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.once(signal, () => run.close(NOT_RUN, `ended by ${signal}`));
  }
  try {
    const { code, verdict } = await body(run);
    await run.close(code, verdict);
  } catch (error) {
    run.write("error", { message: String(error?.stack ?? error) });
    run.hosts.forEach(({ name, output }) =>
      run.write("host-errors", { host: name, output: output.slice(-2_000) })
    );
    await run.close(NOT_RUN, `the case could not run: ${error}`);
  }
}
