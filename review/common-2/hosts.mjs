// Starts hosts with the command of the deploy file, and calls them as clients do.
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { LIMITS } from "./store.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

export const BOUNDS = {
  stableWindowMs: 3_000,
  configApplyMs: 2_000,
  drainMs: 2_000,
  settleMs: 1_000,
  leaseMs: 3_000,
  graceS: 8,
  cancelMs: 3_000,
};

// Returns the command of the only role of the deploy file.
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const [, command] = /^run = "(.*)"$/m.exec(text);
  const [program, ...args] = command.split(" ");
  return { program: program === "node" ? process.execPath : program, args };
}

// Returns the first of a row of free ports, so that all hosts of a run share the same ones.
export async function findPorts(count, ips) {
  for (;;) {
    const base = 20_000 + Math.floor(Math.random() * 30_000);
    const isFree = (ip, port) =>
      new Promise((resolve) => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
      });
    const checks = await Promise.all(
      ips.flatMap((ip) =>
        Array.from({ length: count }, (_, index) => isFree(ip, base + index))
      ),
    );
    if (checks.every(Boolean)) {
      return base;
    }
  }
}

export function createFolder() {
  const folder = mkdtempSync(join(tmpdir(), "briarhill-review-"));
  process.once("exit", () => rmSync(folder, { recursive: true, force: true }));
  return folder;
}

// One machine of the platform: a process that is started again after it has ended.
export class Host {
  lines = [];
  exits = [];
  restartMs = 500;
  isStopped = false;
  #child;

  constructor(
    { name, ip, port, store, seeds, folder, memoryMb = 390, statusS = 120 },
  ) {
    Object.assign(this, { name, ip, port, folder });
    this.settings = `[host]
name = ${name}
failure_domain = a
ip = ${ip}
cores = 0.675
memory_mb = ${memoryMb}
max_descriptors = 8200
[listen]
callers = ${ip}:${port}
health = ${ip}:${port + 1}
peers = ${ip}:${port + 2}
metrics = ${ip}:${port + 3}
seeds = ${seeds.map((seed) => `${seed}:${port + 4}`).join(",")}
[store]
address = ${store}
partitions = ${LIMITS.parts}
record_bytes = ${LIMITS.recordBytes}
request_bytes = ${LIMITS.requestBytes}
group_ttl_min_ms = ${LIMITS.ttlMinMs}
[bounds]
grace_s = ${BOUNDS.graceS}
lease_ms = ${BOUNDS.leaseMs}
status_s = ${statusS}
`;
  }

  start() {
    const path = join(this.folder, `${this.name}.ini`);
    writeFileSync(path, this.settings);
    const { program, args } = readCommand();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: this.folder,
        BRIARHILL_NODE_FILE: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    const kill = () => child.kill("SIGKILL");
    process.once("exit", kill);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on(
        "data",
        (bytes) => this.lines.push([Date.now(), String(bytes)]),
      );
    }
    child.once("exit", (code, signal) => {
      process.removeListener("exit", kill);
      this.exits.push({ atMs: Date.now(), code, signal });
      if (!this.isStopped) {
        setTimeout(() => !this.isStopped && this.start(), this.restartMs);
      }
    });
  }

  get pid() {
    return this.#child?.pid;
  }

  signal(name) {
    this.#child?.kill(name);
  }

  stop() {
    this.isStopped = true;
    this.#child?.kill("SIGKILL");
  }

  // Returns the events of this host's log, oldest first.
  listEvents() {
    const text = this.lines.map(([, chunk]) => chunk).join("");
    return text.split("\n").flatMap((line) => {
      try {
        const { context, time } = JSON.parse(line);
        return [{ ...context, atMs: time }];
      } catch {
        return [];
      }
    });
  }

  get residentKb() {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
      return Number(/VmRSS:\s*(\d+)/.exec(status)?.[1] ?? 0);
    } catch {
      return 0;
    }
  }
}

// Makes one call on a connection of its own; resolves with status 0 if there is no answer.
export function call(
  { ip, port },
  { method = "GET", path, headers = {}, body, timeoutMs = 3_000 },
) {
  return new Promise((resolve) => {
    const sentMs = Date.now();
    const finish = (answer) =>
      resolve({ ...answer, sentMs, tookMs: Date.now() - sentMs });
    const outgoing = request({
      host: ip,
      port,
      method,
      path,
      headers: {
        Host: "app.example",
        ...headers,
        ...(body === undefined
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
      },
      agent: false,
      signal: AbortSignal.timeout(timeoutMs),
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => {});
      response.on("close", () =>
        finish({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }));
    });
    outgoing.on(
      "error",
      (error) =>
        finish({ status: 0, headers: {}, body: "", error: error.code }),
    );
    outgoing.end(body);
  });
}

export async function waitFor(check, timeoutMs = 20_000) {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    if (await check()) {
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  return false;
}
