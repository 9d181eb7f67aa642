/**
 * A small deployment for the scripts of this review: the project's own stand-ins of
 * the platform, and hosts that run as separate processes with the command of the
 * deploy file.
 * @module
 */
import { EndpointStandIn } from "@briarhill/fakes/platform/endpoint_stand_in";
import { FaultProxy } from "@briarhill/fakes/platform/fault_proxy";
import { callHost } from "@briarhill/fakes/platform/host_call";
import { HostProcess } from "@briarhill/fakes/platform/host_process";
import { createHostSettings } from "@briarhill/fakes/platform/host_settings_text";
import {
  createConfiguration,
  SERVICE_HOST,
} from "@briarhill/fakes/platform/platform_configuration";
import { StoreStandIn } from "@briarhill/fakes/platform/store_stand_in";
import {
  ENDPOINT_TOPIC,
  OPERATOR_TOPIC,
} from "@briarhill/platform/names/topics";
import { readFileSync, writeFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const STORE_IP = "127.0.0.1";
/** Servers write to the store about this often, in milliseconds (`heartbeatMs` of the sheets). */
const HEARTBEAT_MS = 1_200;
const HEARTBEAT_CHECK_MS = 10;
const PORTS = 80;
const ZONES = ["a", "b"];
/** The limits of the example sites. */
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

// Each host process has a listener for the end of this process.
process.setMaxListeners(0);

// By an exit, so that the hosts are killed first.
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(2));
}
process.once("uncaughtException", (error) => {
  process.stderr.write(`could not run: ${error.stack}\n`);
  process.exit(2);
});

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === "0";

/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, unusable: 2 };

/** Returns the arguments of the runtime in the `run` line of the deploy file. */
function readRuntimeOptions() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const words = /^run = "(.*)"$/m.exec(text)?.[1].split(" ") ?? [];
  return { options: words.slice(1, -1), program: join(ROOT, words.at(-1)) };
}

/** Returns the service of a group of engines, and the path prefix of its streams. */
export function getGroupNames(group) {
  return group === 0
    ? { service: "engines", pathPrefix: "/streams/" }
    : { service: `engines-${group}`, pathPrefix: `/streams-${group}/` };
}

function canListen(hostname, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, hostname, () => server.close(() => resolve(true)));
  });
}

async function findPorts(addresses) {
  for (let base = 20_100 + process.pid % 100 * PORTS;; base += PORTS) {
    const ports = Array.from({ length: PORTS }, (_, index) => base + index);
    const free = await Promise.all(
      addresses.flatMap((ip) => ports.map((port) => canListen(ip, port))),
    );
    if (free.every(Boolean)) {
      return base;
    }
    if (base > 30_000) {
      throw new Error("no free ports");
    }
  }
}

/** What a case sends, gets and sees run, written to `record.txt` of its folder. */
export class Record {
  #lines = [];
  #startMs = Date.now();

  /** @param url - The URL of the case's module. */
  constructor(url) {
    this.path = fileURLToPath(new URL("record.txt", url));
  }

  add(...words) {
    const atS = ((Date.now() - this.#startMs) / 1_000).toFixed(3);
    this.#lines.push(`${atS} ${words.join(" ")}`);
  }

  write() {
    writeFileSync(this.path, `${this.#lines.join("\n")}\n`);
  }
}

/** A store, servers and hosts on loopback addresses. */
export class Deployment {
  store = new StoreStandIn();
  /** The link of all hosts to the store. */
  storeLink;
  engines = [];
  services = [];
  hosts = [];
  #options;
  #base = 0;
  #folder = "";
  #timers = [];
  #version = 2;

  /**
   * @param options - The numbers of hosts, services and engines; `engineGroups` is
   * the number of services that the engines are split into, each with as many, and
   * `zones` the number of zones over which those of a service are spread; hosts are
   * in the first one;
   * `changeSettings` changes the settings of a host.
   */
  constructor(options) {
    this.#options = {
      engines: 2,
      services: 2,
      engineGroups: 1,
      zones: 1,
      ...options,
    };
  }

  getIp(host) {
    return `127.0.0.${host + 2}`;
  }

  getAddress(host) {
    return { hostname: this.getIp(host), port: this.#base + 1 };
  }

  async start() {
    const { hosts } = this.#options;
    const ips = Array.from({ length: hosts }, (_, host) => this.getIp(host));
    this.#base = await findPorts([STORE_IP, ...ips]);
    await this.store.start(STORE_IP, this.#base);
    this.storeLink = new FaultProxy({
      listen: { hostname: STORE_IP, port: this.#base + 9 },
      target: { hostname: STORE_IP, port: this.#base },
    });
    await this.storeLink.start();
    this.#createServers();
    await Promise.all(this.servers.map((server) => server.start()));
    this.publishConfiguration();
    this.servers.forEach((server) => this.publishEntry(server));
    this.#startHeartbeats();
    this.#folder = await mkdtemp(join(tmpdir(), "briarhill-case-"));
    const { options, program } = readRuntimeOptions();
    this.hosts = ips.map((ip, host) =>
      new HostProcess({
        program,
        folder: this.#folder,
        name: `host-${host}`,
        runtimeOptions: options,
        settings: this.#createSettings(ip, host),
      })
    );
    await Promise.all(this.hosts.map((host) => host.start()));
    await Promise.all(ips.map((_, host) => this.#waitReady(host)));
    // The hosts join their group and settle the lease.
    await sleep(4_000);
  }

  get servers() {
    return [...this.engines, ...this.services];
  }

  /** Publishes the next version of the configuration. */
  publishConfiguration() {
    const configuration = createConfiguration(++this.#version);
    const { engineGroups } = this.#options;
    for (let group = 1; group < engineGroups; group++) {
      this.#addGroup(configuration, group);
    }
    this.store.publish(OPERATOR_TOPIC, "config", {
      ...configuration,
      limits: LIMITS,
    });
  }

  /** Adds a service of engines with a route for streams. */
  #addGroup({ routes, services }, group) {
    const route = routes.find(({ name }) => name === "streams");
    const service = services.find(({ name }) => name === "engines");
    const names = getGroupNames(group);
    routes.push({
      ...route,
      name: names.service,
      pathPrefix: names.pathPrefix,
      service: names.service,
    });
    services.push({ ...service, name: names.service });
  }

  publishEntry(server) {
    this.store.publish(ENDPOINT_TOPIC, server.options.id, server.createEntry());
  }

  /** Calls a host; resolves with status 0 if the connection breaks. */
  async call(host, method, path, options = {}) {
    const headers = { host: SERVICE_HOST, ...options.headers };
    return await callHost(this.getAddress(host), {
      method,
      path,
      timeoutMs: 9_000,
      ...options,
      headers,
    }).catch((error) => ({ status: 0, body: "", error: String(error) }));
  }

  /** Ends everything; may be called more than once. */
  async stop() {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.hosts.forEach((host) => host.sendSignal("SIGKILL"));
    await Promise.all(this.hosts.map((host) => host.waitExit()));
    this.storeLink?.close();
    this.store.close();
    this.servers.forEach((server) => {
      server.crash.stop();
      server.close();
    });
    if (this.#folder !== "") {
      await rm(this.#folder, { recursive: true, force: true });
    }
  }

  /** Each server writes at times of its own. */
  #startHeartbeats() {
    this.#timers = this.servers.map((server, index) => {
      let atMs = Date.now() + HEARTBEAT_MS * index / this.servers.length;
      return setInterval(() => {
        if (Date.now() >= atMs) {
          atMs += HEARTBEAT_MS;
          if (!server.crash.isDown) {
            this.publishEntry(server);
          }
        }
      }, HEARTBEAT_CHECK_MS);
    });
  }

  #createServers() {
    const { engines, engineGroups, services, zones } = this.#options;
    const create = (id, port, service, zone = "a") =>
      new EndpointStandIn({
        id,
        service,
        hostname: STORE_IP,
        port,
        zone,
        models: service === "app" ? [] : ["m0"],
        events: 8,
        eventMs: 5,
        loadMs: 100,
      });
    this.engines = Array.from({ length: engines }, (_, index) => {
      const { service } = getGroupNames(index % engineGroups);
      const zone = ZONES[Math.floor(index / engineGroups) % zones];
      return create(`engine-${index}`, this.#base + 10 + index, service, zone);
    });
    this.services = Array.from(
      { length: services },
      (_, index) => create(`service-${index}`, this.#base + 70 + index, "app"),
    );
  }

  #createSettings(ip, host) {
    const { changeSettings = (text) => text } = this.#options;
    const text = createHostSettings({
      name: `host-${host}`,
      ip,
      store: `${STORE_IP}:${this.#base + 9}`,
      port: this.#base + 1,
    });
    return changeSettings(text);
  }

  async #waitReady(host) {
    for (let check = 0; check < 500; check++) {
      const { status } = await this.call(host, "GET", "/briarhill/readyz");
      if (status === 200) {
        return;
      }
      await sleep(20);
    }
    throw new Error(`host ${host} did not get ready`);
  }
}

/**
 * Runs a case and exits with its code.
 *
 * @param url - The URL of the case's module.
 * @param options - The options of its deployment.
 * @param judge - Runs the case and resolves with whether the rule was broken.
 */
export async function runCase(url, options, judge) {
  const record = new Record(url);
  const deployment = new Deployment(options);
  let code = EXIT.unusable;
  try {
    await deployment.start();
    record.add(
      isCalm ? "begins without the disruption" : "begins with the disruption",
    );
    const isBroken = await judge(deployment, record);
    code = isBroken ? EXIT.broken : EXIT.held;
    record.add(isBroken ? "the rule was broken" : "the rule held");
  } catch (error) {
    record.add(`could not run: ${error?.stack ?? error}`);
  }
  await deployment.stop();
  record.write();
  process.exit(code);
}
