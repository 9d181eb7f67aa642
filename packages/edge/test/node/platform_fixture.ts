import { Logger } from "@briarhill/common/logging/logger";
import { EndpointStandIn } from "@briarhill/fakes/platform/endpoint_stand_in";
import { StoreStandIn } from "@briarhill/fakes/platform/store_stand_in";
import {
  ENDPOINT_TOPIC,
  OPERATOR_TOPIC,
} from "@briarhill/platform/names/topics";
import { Buffer } from "node:buffer";
import { request } from "node:http";
import { LOT_GROUP } from "../../src/lots/shard_group.ts";
import { EntryHost } from "../../src/node/entry_host.ts";
import { parseHostSettings } from "../../src/settings/host_settings.ts";
import { createConfiguration, SERVICE_HOST } from "./platform_configuration.ts";

const BEAT_MS = 300;
/** Above the time after which a host joins its group again. */
const JOIN_EVERY_MS = 900;

/** An answer of a host. */
export interface HostAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** A store, endpoints and hosts on addresses of the loopback network. */
export class PlatformFixture {
  readonly store = new StoreStandIn();
  readonly engines: readonly EndpointStandIn[];
  readonly services: readonly EndpointStandIn[];
  readonly hosts: EntryHost[] = [];
  readonly #base: number;
  #beats: ReturnType<typeof setInterval> | undefined;

  /** @param base - The first of some twenty free ports. */
  constructor(base: number) {
    this.#base = base;
    this.engines = [0, 1].map((number) =>
      this.#createEndpoint(`engine-${number}`, base + 10 + number, ["m0"])
    );
    this.services = [0, 1].map((number) =>
      this.#createEndpoint(`service-${number}`, base + 15 + number, [])
    );
  }

  async start(hosts: number): Promise<void> {
    await this.store.start("127.0.0.1", this.#base);
    const endpoints = [...this.engines, ...this.services];
    await Promise.all(endpoints.map((endpoint) => endpoint.start()));
    this.store.publish(OPERATOR_TOPIC, "config", createConfiguration());
    this.#publishEntries();
    this.#beats = setInterval(() => this.#publishEntries(), BEAT_MS);
    for (let number = 0; number < hosts; number++) {
      const host = new EntryHost(
        parseHostSettings("host.ini", this.#createSettings(number)),
        Logger.create({ host: `host-${number}` }),
      );
      this.hosts.push(host);
      await host.start();
    }
    await this.waitFor(async () =>
      (await this.call(hosts - 1, "GET", "/briarhill/readyz")).status === 200
    );
    await this.#waitShared(hosts);
  }

  /** Waits until every host holds its share and knows it: a host that joins takes work over. */
  async #waitShared(hosts: number): Promise<void> {
    const countShares = () =>
      this.store.listHolders(LOT_GROUP).map(({ count }) => count);
    await this.waitFor(() =>
      Promise.resolve(
        countShares().length === hosts &&
          countShares().every((count) => count === 24 / hosts),
      )
    );
    await new Promise((resolve) => setTimeout(resolve, JOIN_EVERY_MS));
  }

  async stop(): Promise<void> {
    clearInterval(this.#beats);
    await Promise.all(this.hosts.map((host) => host.stop()));
    this.store.close();
    [...this.engines, ...this.services].forEach((one) => one.close());
  }

  getIp(host: number): string {
    return `127.0.0.${host + 2}`;
  }

  call(
    host: number,
    method: string,
    path: string,
    options: {
      readonly headers?: Record<string, string>;
      readonly body?: string;
    } = {},
  ): Promise<HostAnswer> {
    return new Promise((resolve, reject) => {
      const outgoing = request({
        host: this.getIp(host),
        port: this.#base + 1,
        method,
        path,
        headers: { host: SERVICE_HOST, ...options.headers },
        agent: false,
      }, (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks),
          }));
      });
      outgoing.on("error", reject);
      outgoing.end(options.body);
    });
  }

  handIn(host: number, lot: string, samples: number): Promise<HostAnswer> {
    const items = Array.from({ length: samples }, (_, number) => ({
      id: `${lot}-${number}`,
      path: `/rollout/${number}`,
      headers: { "X-Briarhill-Length-Hint": "100" },
      body: Buffer.from(`prompt ${number}`).toString("base64"),
      tokens: 100,
      group: `g${number % 2}`,
      scorer: {
        id: `score-${lot}-${number}`,
        host: SERVICE_HOST,
        path: "/app/score",
        body: "",
      },
    }));
    return this.call(host, "POST", `/rollout/${lot}`, {
      headers: {
        "X-Briarhill-Attempt-Id": lot,
        "X-Briarhill-Deadline-Ms": "8000",
      },
      body: JSON.stringify({
        step: 0,
        model: "m0",
        minVersion: 1,
        batchSize: 2,
        items,
      }),
    });
  }

  async readResults(host: number, lot: string): Promise<readonly LotResult[]> {
    const { status, body } = await this.call(
      host,
      "GET",
      `/briarhill/lots/${lot}?after=0`,
      { headers: { "X-Briarhill-Wait-Ms": "100" } },
    );
    return status === 200 ? JSON.parse(body.toString()).results : [];
  }

  async waitResults(
    host: number,
    lot: string,
    count: number,
  ): Promise<readonly LotResult[]> {
    let results: readonly LotResult[] = [];
    await this.waitFor(async () => {
      results = await this.readResults(host, lot);
      return results.length >= count;
    });
    return results;
  }

  /** Asks until it holds; the bound only ends a test that hangs. */
  async waitFor(holds: () => Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < 1_000; tries++) {
      if (await holds().catch(() => false)) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    throw new Error("the condition never held");
  }

  #createEndpoint(
    id: string,
    port: number,
    models: readonly string[],
  ): EndpointStandIn {
    return new EndpointStandIn({
      id,
      service: models.length > 0 ? "engines" : "app",
      hostname: "127.0.0.1",
      port,
      zone: "a",
      models,
      events: 8,
      eventMs: 5,
      loadMs: 100,
    });
  }

  #publishEntries(): void {
    for (const endpoint of [...this.engines, ...this.services]) {
      const { id } = endpoint.options;
      this.store.publish(ENDPOINT_TOPIC, id, endpoint.createEntry());
    }
  }

  #createSettings(host: number): string {
    const ip = this.getIp(host);
    return `[host]
name = host-${host}
failure_domain = a
ip = ${ip}
cores = 1
[listen]
callers = ${ip}:${this.#base + 1}
health = ${ip}:${this.#base + 2}
peers = ${ip}:${this.#base + 3}
metrics = ${ip}:${this.#base + 4}
seeds = 127.0.0.2:1,127.0.0.3:1
[store]
address = 127.0.0.1:${this.#base}
partitions = 24
record_bytes = 262144
group_ttl_min_ms = 1000
[bounds]
grace_s = 8
lease_ms = 3000
status_s = 120
`;
  }
}

/** A result as a trainer reads it. */
export interface LotResult {
  readonly id: string;
  readonly state: string;
  readonly output: string;
  readonly versions: readonly number[];
  readonly score: string;
}
