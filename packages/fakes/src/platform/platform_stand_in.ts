/**
 * A whole platform for tests and soaks: store, endpoints, and a client of hosts.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import {
  ENDPOINT_TOPIC,
  OPERATOR_TOPIC,
} from "@briarhill/platform/names/topics";
import { Buffer } from "node:buffer";
import { EndpointStandIn } from "./endpoint_stand_in.ts";
import {
  callHost,
  type HostAnswer,
  type HostCallOptions,
} from "./host_call.ts";
import { createConfiguration, SERVICE_HOST } from "./platform_configuration.ts";
import { getProxyAddress, PlatformLinks } from "./platform_links.ts";
import { createHostSettings } from "./host_settings_text.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const STORE_IP = "127.0.0.1";
const BEAT_MS = 300;
/** How long a trainer waits for results, in milliseconds; a link may hold them back. */
const READ_TIMEOUT_MS = 3_000;
/** How long a trainer waits for a lot's acknowledgement, in milliseconds. */
const HAND_IN_TIMEOUT_MS = 8_000;
const EVENTS = 8;

/** A store, endpoints and a client on addresses of the loopback network. */
export class PlatformStandIn {
  readonly store = new StoreStandIn();
  readonly engines: readonly EndpointStandIn[];
  readonly services: readonly EndpointStandIn[];
  readonly links: PlatformLinks;
  readonly #base: number;
  #configuration = 3;
  #version = 1;
  #beats: ReturnType<typeof setInterval> | undefined;
  readonly #hosts: number;

  /**
   * @param base - The first of some twenty free ports, and of as many a hundred
   * further up where there are links.
   * @param hosts - How many hosts are reached, and reach all else, through
   * links that can be harmed; 0 where there are no links.
   */
  constructor(base: number, hosts = 0) {
    this.#base = base;
    this.#hosts = hosts;
    this.engines = [0, 1].map((number) =>
      this.#createEndpoint(`engine-${number}`, base + 10 + number, ["m0"])
    );
    this.services = [0, 1].map((number) =>
      this.#createEndpoint(`service-${number}`, base + 15 + number, [])
    );
    this.links = new PlatformLinks({
      store: { hostname: STORE_IP, port: base },
      hosts: Array.from({ length: hosts }, (_, host) => this.#getAddress(host)),
      endpoints: hosts === 0 ? [] : [...this.engines, ...this.services].map(
        ({ options }) => options,
      ),
    });
  }

  /** Opens the store and the endpoints, and publishes the configuration. */
  async start(): Promise<void> {
    await this.store.start(STORE_IP, this.#base);
    const endpoints = [...this.engines, ...this.services];
    await Promise.all(endpoints.map((endpoint) => endpoint.start()));
    await this.links.start();
    this.store.publish(OPERATOR_TOPIC, "config", createConfiguration(3));
    this.#publishEntries();
    this.#beats = setInterval(() => this.#publishEntries(), BEAT_MS);
  }

  /** The text that every sample has when it is whole. */
  get wholeText(): string {
    return Array.from({ length: EVENTS }, (_, id) => `e${id}`).join("\n");
  }

  /** Publishes the next version of the configuration. */
  publishConfiguration(): void {
    const value = createConfiguration(++this.#configuration);
    this.store.publish(OPERATOR_TOPIC, "config", value);
  }

  /** Names the next version of the weights. */
  publishVersion(): void {
    const value = { model: "m0", version: ++this.#version };
    this.store.publish(OPERATOR_TOPIC, "version/m0", value);
  }

  /** Closes everything. */
  stop(): void {
    clearInterval(this.#beats);
    this.links.close();
    this.store.close();
    [...this.engines, ...this.services].forEach((one) => one.close());
  }

  /**
   * Returns the address of a host.
   *
   * @param host - Its number, from 0.
   */
  getIp(host: number): string {
    return `127.0.0.${host + 2}`;
  }

  /**
   * Calls a host on a connection of its own.
   *
   * @param host - Its number.
   * @param method - The method.
   * @param path - The path.
   * @param options - Headers and body.
   */
  call(
    host: number,
    method: string,
    path: string,
    options: HostCallOptions = {},
  ): Promise<HostAnswer> {
    return callHost(this.#getReached(this.#getAddress(host)), {
      method,
      path,
      ...options,
      headers: { host: SERVICE_HOST, ...options.headers },
    });
  }

  /**
   * Hands a lot in.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   * @param samples - How many samples it has, in two groups.
   */
  sendLot(host: number, lot: string, samples: number): Promise<HostAnswer> {
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
        "X-Briarhill-Deadline-Ms": String(HAND_IN_TIMEOUT_MS),
      },
      timeoutMs: HAND_IN_TIMEOUT_MS,
      body: JSON.stringify({
        step: 0,
        model: "m0",
        minVersion: 1,
        batchSize: 2,
        items,
      }),
    });
  }

  /**
   * Reads all results of a lot; empty where the host can't tell.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   */
  async readResults(host: number, lot: string): Promise<readonly LotResult[]> {
    const { status, body } = await this.call(
      host,
      "GET",
      `/briarhill/lots/${lot}?after=0`,
      { headers: { "X-Briarhill-Wait-Ms": "100" }, timeoutMs: READ_TIMEOUT_MS },
    );
    return status === 200 ? JSON.parse(body.toString()).results : [];
  }

  /**
   * Reads results until there are enough.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   * @param count - How many are enough.
   */
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

  /**
   * Asks until it holds; the bound only ends a run that hangs.
   *
   * @param holds - What has to hold.
   */
  async waitFor(holds: () => Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < 1_000; tries++) {
      if (await holds().catch(() => false)) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    throw new DeadlineError("the condition never held");
  }

  #getAddress(host: number): HttpAddress {
    return { hostname: this.getIp(host), port: this.#base + 1 };
  }

  /** Returns where a target is reached. */
  #getReached(target: HttpAddress): HttpAddress {
    return this.#hosts > 0 ? getProxyAddress(target) : target;
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
      events: EVENTS,
      eventMs: 5,
      loadMs: 100,
      reachedAt: this.#getReached({ hostname: "127.0.0.1", port }),
    });
  }

  #publishEntries(): void {
    for (const endpoint of [...this.engines, ...this.services]) {
      const { id } = endpoint.options;
      this.store.publish(ENDPOINT_TOPIC, id, endpoint.createEntry());
    }
  }

  /**
   * Returns the settings of a host.
   *
   * @param host - Its number.
   */
  createSettings(host: number): string {
    const ip = this.getIp(host);
    const store = this.#hosts > 0
      ? getProxyAddress({ hostname: ip, port: this.#base })
      : { hostname: STORE_IP, port: this.#base };
    return createHostSettings({
      name: `host-${host}`,
      ip,
      store: `${store.hostname}:${store.port}`,
      port: this.#base + 1,
    });
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
