// A platform on loopback addresses for the scripts of this review: the project's stand-in of the store, and
// hosts that are started with the command of the deploy file.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const { StoreStandIn } = await import(
  join(ROOT, "packages/fakes/dist/src/platform/store_stand_in.js")
);
const RUN = readFileSync(join(ROOT, "deploy/system.toml"), "utf8")
  .match(/^run = "node (.*)"$/m)[1].split(" ");

export const SERVICE_HOST = "app.example";
export { sleep };

/** Returns the first of some free ports that are free on all given addresses. */
async function findPorts(addresses, count) {
  for (;;) {
    const base = 20_000 + 10 * Math.floor(Math.random() * 1_000);
    const isFree = (hostname, port) =>
      new Promise((resolve) => {
        const server = createServer().once("error", () => resolve(false))
          .listen(port, hostname, () => server.close(() => resolve(true)));
      });
    const checks = addresses.flatMap((hostname) =>
      Array.from(
        { length: count },
        (_, index) => isFree(hostname, base + index),
      )
    );
    if ((await Promise.all(checks)).every((free) => free)) {
      return base;
    }
  }
}

/** A store, the settings of hosts, and the processes of the hosts. */
export class Platform {
  store = new StoreStandIn();
  hosts = [];
  record = [];
  startedAt = Date.now();

  /** @param options - hosts, memoryMb, maxFds, and configuration without its version. */
  constructor(options) {
    this.options = { memoryMb: 390, maxFds: 8_200, hosts: 3, ...options };
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.version = 2;
  }

  /** Adds a line to the record. */
  note(text) {
    this.record.push(
      `${((Date.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`,
    );
  }

  ip(host) {
    return `127.0.0.${host + 2}`;
  }

  async start() {
    const ips = Array.from(
      { length: this.options.hosts },
      (_, host) => this.ip(host),
    );
    this.base = await findPorts(["127.0.0.1", ...ips], 40);
    await this.store.start("127.0.0.1", this.base);
    process.once(
      "exit",
      () => this.hosts.forEach((child) => child?.kill("SIGKILL")),
    );
  }

  publishConfiguration(change = {}) {
    const configuration = { ...this.options.configuration, ...change };
    this.options.configuration = configuration;
    this.store.publish("keyed.op", "config", {
      version: ++this.version,
      ...configuration,
    });
  }

  settings(host) {
    const ip = this.ip(host);
    const { memoryMb, maxFds } = this.options;
    return `[host]
name = edge-${host}
failure_domain = zone-${"abc"[host % 3]}
ip = ${ip}
cores = 0.675
memory_mb = ${memoryMb}
max_descriptors = ${maxFds}
[listen]
callers = ${ip}:${this.base + 1}
health = ${ip}:${this.base + 2}
peers = ${ip}:${this.base + 3}
metrics = ${ip}:${this.base + 4}
seeds = 127.0.0.2:${this.base + 5},127.0.0.3:${this.base + 5},127.0.0.4:${
      this.base + 5
    }
[store]
address = ${this.storeAddress?.(host) ?? `127.0.0.1:${this.base}`}
partitions = 24
record_bytes = 262144
request_bytes = 2097152
group_ttl_min_ms = 1000
[bounds]
grace_s = 8
lease_ms = 3000
status_s = 120
`;
  }

  /** Starts the process of a host with the command of the deploy file. */
  startHost(host) {
    const path = join(this.folder, `edge-${host}.ini`);
    writeFileSync(path, this.settings(host));
    const child = spawn(process.execPath, RUN, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        BRIARHILL_NODE_FILE: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.log = "";
    child.peakKb = 0;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (bytes) => {
        child.log = (child.log + bytes).slice(-4_000_000);
        this.onLog?.(host, String(bytes));
      });
    }
    child.ended = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.note(`host ${host} ended: code ${code}, signal ${signal}`);
        child.end = { code, signal, at: Date.now() };
        resolve();
      })
    );
    this.hosts[host] = child;
    this.note(`host ${host} started`);
    return child;
  }

  kill(host, signal = "SIGKILL") {
    this.note(`${signal} to host ${host}`);
    this.hosts[host]?.kill(signal);
  }

  /** Returns the resident memory of a host, in MB; 0 if it has ended. */
  memoryMb(host) {
    try {
      const status = readFileSync(
        `/proc/${this.hosts[host].pid}/status`,
        "utf8",
      );
      return Number(/VmRSS:\s*(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  /** Makes one call to a host; resolves with status 0 if there is no complete answer. */
  call(
    host,
    method,
    path,
    { headers = {}, body, timeoutMs = 5_000, agent = false } = {},
  ) {
    return new Promise((resolve) => {
      const settle = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      const outgoing = request({
        host: this.ip(host),
        port: this.base + 1,
        method,
        path,
        headers: { Host: SERVICE_HOST, ...headers },
        agent,
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => undefined);
        response.on("close", () =>
          settle({
            status: response.complete ? response.statusCode : 0,
            head: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
          }));
      });
      const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
      outgoing.on(
        "error",
        (error) =>
          settle({
            status: 0,
            headers: {},
            body: Buffer.alloc(0),
            error: error.code,
          }),
      );
      outgoing.end(body);
    });
  }

  async waitReady(hosts, timeoutMs = 15_000) {
    const end = Date.now() + timeoutMs;
    for (const host of hosts) {
      while (
        (await this.call(host, "GET", "/briarhill/readyz", { timeoutMs: 500 }))
          .status !== 200
      ) {
        if (Date.now() > end) {
          throw new Error(`host ${host} is not ready`);
        }
        await sleep(50);
      }
    }
  }

  async stop() {
    this.hosts.forEach((child) => child?.kill("SIGKILL"));
    await Promise.all(this.hosts.map((child) => child?.ended));
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  writeRecord(folder) {
    writeFileSync(join(folder, "record.txt"), `${this.record.join("\n")}\n`);
  }
}

/** Opens a raw connection to a host. */
export function openRaw(platform, host) {
  return connect({ host: platform.ip(host), port: platform.base + 1 });
}
