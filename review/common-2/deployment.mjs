// A small deployment on loopback addresses: a store, servers and three hosts.
import { appendFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { call, createFolder, findPorts, Host, waitFor } from "./hosts.mjs";
import { Link } from "./link.mjs";
import { Server } from "./servers.mjs";
import { Store } from "./store.mjs";

export const STORE_IP = "127.0.0.1";
export const HOST_IPS = ["127.0.0.2", "127.0.0.3", "127.0.0.4"];
export const MODEL = "m0";
/** The interval of the entries of one server; the servers take turns. */
const HEARTBEAT_MS = 1_200;
const TIME_LIMIT_MS = 115_000;

export const ROUTES = [
  {
    name: "app",
    host: "app.example",
    pathPrefix: "/app/",
    type: "idempotent",
    timeoutMs: 2_000,
    sloMs: 150,
    priority: 2,
    service: "app",
    maxAttempts: 2,
  },
  {
    name: "rollout",
    host: "app.example",
    pathPrefix: "/rollout/",
    type: "rollout",
    timeoutMs: 10_000,
    sloMs: 500,
    priority: 0,
    service: "gen",
    maxAttempts: 3,
    dueMs: 7_500,
    retentionS: 40,
  },
];

export function createConfiguration(version, routes = ROUTES) {
  return {
    version,
    routes,
    services: [
      { name: "app", healthPath: "/healthz", maxConns: 110 },
      { name: "desk", healthPath: "/healthz", maxConns: 110 },
      {
        name: "gen",
        healthPath: "/healthz",
        maxConns: 150,
        engine: { slots: 8, models: [{ name: MODEL }] },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 33_554_432,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

// Writes what was sent, answered and run into record.txt of the case.
export class Record {
  #path;
  #startMs = Date.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }

  add(text) {
    const atS = ((Date.now() - this.#startMs) / 1_000).toFixed(3);
    appendFileSync(this.#path, `${atS.padStart(8)} ${text}\n`);
  }
}

export class Deployment {
  store = new Store();
  #timer;

  static async create(
    record,
    { restartMs = 1_000, statusS = 120, hasLinks = false } = {},
  ) {
    const deployment = new Deployment();
    await deployment.#start(record, { restartMs, statusS, hasLinks });
    return deployment;
  }

  async #start(record, { restartMs, statusS, hasLinks }) {
    const base = await findPorts(30, [STORE_IP, ...HOST_IPS]);
    const server = (id, service, index, models) =>
      new Server({ id, service, ip: STORE_IP, port: base + index, models });
    this.apps = [0, 1].map((n) => server(`app-${n}`, "app", 1 + n));
    this.desks = [0, 1].map((n) => server(`desk-${n}`, "desk", 3 + n));
    this.engines = [0, 1, 2].map((n) =>
      server(`engine-${n}`, "gen", 5 + n, [MODEL])
    );
    this.servers = [...this.apps, ...this.desks, ...this.engines];
    this.links = hasLinks
      ? this.engines.map((engine, n) => {
        const listen = { ip: STORE_IP, port: base + 20 + n };
        engine.advertised = `${listen.ip}:${listen.port}`;
        return new Link({ listen, target: engine });
      })
      : [];
    await Promise.all(this.links.map((link) => link.start()));
    await this.store.start(STORE_IP, base);
    await Promise.all(this.servers.map((each) => each.start()));
    this.publishServers();
    let turn = 0;
    this.#timer = setInterval(
      () => this.#publishServer(this.servers[turn++ % this.servers.length]),
      HEARTBEAT_MS / this.servers.length,
    );
    this.publishConfiguration(createConfiguration(3));
    const folder = createFolder();
    this.callersPort = base + 10;
    this.hosts = HOST_IPS.map((ip, number) =>
      new Host({
        name: `host-${number}`,
        ip,
        port: this.callersPort,
        store: `${STORE_IP}:${base}`,
        seeds: HOST_IPS,
        folder,
        statusS,
      })
    );
    this.hosts.forEach((host) => {
      host.restartMs = restartMs;
      host.start();
    });
    const areReady = await Promise.all(
      this.hosts.map((host) =>
        waitFor(async () => await this.isReady(host) === 200)
      ),
    );
    if (!areReady.every(Boolean)) {
      record.add("a host did not become ready");
      throw new Error("a host did not become ready");
    }
    // The hosts share out the partitions of the lots.
    await sleep(3_000);
    record.add(`${this.hosts.length} hosts are ready`);
  }

  publishServers() {
    this.servers.forEach((server) => this.#publishServer(server));
  }

  #publishServer(server) {
    if (!server.isDown) {
      this.store.publish("keyed.servers", server.id, server.entry());
    }
  }

  publishConfiguration(configuration) {
    this.store.publish("keyed.op", "config", configuration);
  }

  async isReady(host) {
    const { status } = await call(
      { ip: host.ip, port: this.callersPort + 1 },
      { path: "/briarhill/readyz", timeoutMs: 1_000 },
    );
    return status;
  }

  // Calls a host as a client does.
  callHost(number, options) {
    const { ip } = this.hosts[number % this.hosts.length];
    return call({ ip, port: this.callersPort }, options);
  }

  sendRequest(number, id, path = "/app/call") {
    return this.callHost(number, {
      method: "POST",
      path,
      headers: {
        "X-Briarhill-Attempt-Id": id,
        "X-Briarhill-Deadline-Ms": "2000",
      },
      body: `body of ${id}`,
      timeoutMs: 2_500,
    });
  }

  sendLot(number, id, body) {
    return this.callHost(number, {
      method: "POST",
      path: `/rollout/${id}`,
      headers: {
        "X-Briarhill-Attempt-Id": id,
        "X-Briarhill-Deadline-Ms": "8000",
        "Content-Type": "application/json",
      },
      body,
      timeoutMs: 8_500,
    });
  }

  async readLot(number, id, { after = 0, waitMs = 0 } = {}) {
    const answer = await this.callHost(number, {
      path: `/briarhill/lots/${id}?after=${after}`,
      headers: { "X-Briarhill-Wait-Ms": String(waitMs) },
      timeoutMs: waitMs + 1_500,
    });
    return {
      ...answer,
      page: answer.status === 200 ? JSON.parse(answer.body) : undefined,
    };
  }

  endLot(number, id) {
    return this.callHost(number, {
      method: "DELETE",
      path: `/briarhill/lots/${id}`,
      timeoutMs: 5_500,
    });
  }

  stop() {
    clearInterval(this.#timer);
    this.hosts?.forEach((host) => host.stop());
    this.links?.forEach((link) => link.close());
    this.servers?.forEach((server) => server.close());
    this.store.close();
  }
}

export function createLot(
  id,
  { items = 6, body = "q83vEjRWeJA=", minVersion = 1, createItem } = {},
) {
  const create = createItem ?? ((number) => ({
    id: `${id}x${number}`,
    path: `/rollout/${number}`,
    headers: {
      "X-Briarhill-Model": MODEL,
      "X-Briarhill-Token-Usage": "100,100",
      "X-Briarhill-Prompt-Prefix": `9c2e41:60,${id.slice(0, 4)}:40`,
    },
    body,
    tokens: 200,
    group: `g${number % 2}`,
    scorer: {
      id: `s${id}x${number}`,
      host: "app.example",
      path: "/app/score",
      body: "3q2+7w==",
    },
  }));
  return JSON.stringify({
    step: 0,
    model: MODEL,
    minVersion,
    batchSize: 2,
    items: Array.from({ length: items }, (_, number) => create(number)),
  });
}

// Records what the servers have run of a lot.
export function recordRuns(record, servers, lot) {
  const runs = servers.flatMap((server) => server.runs)
    .filter(({ id }) => id.startsWith(lot))
    .sort((a, b) => a.arrivedMs - b.arrivedMs);
  for (const { id, server, lastEvent, arrivedMs, endedMs, isWhole } of runs) {
    const took = endedMs === undefined
      ? "still runs"
      : `${endedMs - arrivedMs} ms`;
    record.add(
      `${server} ran ${id} ${
        lastEvent === undefined ? "from its start" : `after event ${lastEvent}`
      }, which arrived ${Date.now() - arrivedMs} ms ago: ${took}, ${
        isWhole ? "to its end" : "not to its end"
      }`,
    );
  }
}

// Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
export async function runCase(folder, run, options) {
  const record = new Record(`${folder}/record.txt`);
  const hasTrouble = process.env.TROUBLE !== "0";
  record.add(hasTrouble ? "with the disruption" : "without the disruption");
  let deployment;
  const limit = setTimeout(() => {
    record.add("the case took too long");
    process.exit(2);
  }, TIME_LIMIT_MS);
  let code = 2;
  try {
    deployment = await Deployment.create(record, options);
    const isBroken = await run({ deployment, record, hasTrouble });
    code = isBroken ? 1 : 0;
    record.add(isBroken ? "the rule was broken" : "the rule held");
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
  } finally {
    clearTimeout(limit);
    deployment?.stop();
  }
  await sleep(300);
  process.exit(code);
}
