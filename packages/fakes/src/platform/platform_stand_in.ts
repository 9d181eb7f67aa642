/**
 * A whole platform for tests and soaks: store, endpoints, and a client of hosts.
 * @module
 */
import {
  ENDPOINT_TOPIC,
  OPERATOR_TOPIC,
} from "@briarhill/platform/names/topics";
import { EndpointStandIn } from "./endpoint_stand_in.ts";
import { HostClient } from "./host_client.ts";
import { createConfiguration } from "./platform_configuration.ts";
import { PlatformLinks } from "./platform_links.ts";
import { createHostSettings } from "./host_settings_text.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const STORE_IP = "127.0.0.1";
const BEAT_MS = 300;
const EVENTS = 8;
const ENDPOINT_TERMS = {
  hostname: STORE_IP,
  zone: "a",
  events: EVENTS,
  eventMs: 5,
  loadMs: 100,
};

/** A store, endpoints and a client on addresses of the loopback network. */
export class PlatformStandIn extends HostClient {
  readonly store = new StoreStandIn();
  readonly engines: readonly EndpointStandIn[];
  readonly services: readonly EndpointStandIn[];
  readonly links: PlatformLinks;
  #configuration = 2;
  #version = 1;
  #beats: ReturnType<typeof setInterval> | undefined;

  /**
   * @param base - The first of some twenty free ports, and of as many a hundred
   * further up where there are links.
   * @param hosts - How many hosts are reached, and reach all else, through
   * links that can be harmed; 0 where there are no links.
   */
  constructor(base: number, hosts = 0) {
    super(base, hosts > 0);
    this.engines = [0, 1].map((number) =>
      this.#createEndpoint(`engine-${number}`, base + 10 + number, ["m0"])
    );
    this.services = [0, 1].map((number) =>
      this.#createEndpoint(`service-${number}`, base + 15 + number, [])
    );
    this.links = new PlatformLinks({
      store: { hostname: STORE_IP, port: base },
      hosts: Array.from({ length: hosts }, (_, host) => this.getAddress(host)),
      endpoints: hosts === 0
        ? []
        : this.endpoints.map(({ options }) => options),
    });
  }

  /** Opens the store and the endpoints, and publishes the configuration. */
  async start(): Promise<void> {
    await this.store.start(STORE_IP, this.base);
    await Promise.all(this.endpoints.map((endpoint) => endpoint.start()));
    await this.links.start();
    this.publishConfiguration();
    this.#publishEntries();
    this.#beats = setInterval(() => this.#publishEntries(), BEAT_MS);
  }

  /** All engines and services. */
  get endpoints(): readonly EndpointStandIn[] {
    return [...this.engines, ...this.services];
  }

  /** The text that every sample has when it is whole. */
  get wholeText(): string {
    return Array.from({ length: EVENTS }, (_, id) => `e${id}`).join("\n");
  }

  /** Publishes the next version of the configuration. */
  publishConfiguration(): void {
    this.store.publish(
      OPERATOR_TOPIC,
      "config",
      createConfiguration(++this.#configuration),
    );
  }

  /** Names the next version of the weights. */
  publishVersion(): void {
    this.store.publish(OPERATOR_TOPIC, "version/m0", {
      model: "m0",
      version: ++this.#version,
    });
  }

  /** Closes everything. */
  stop(): void {
    clearInterval(this.#beats);
    this.links.close();
    this.store.close();
    this.endpoints.forEach((one) => one.close());
  }

  #createEndpoint(
    id: string,
    port: number,
    models: readonly string[],
  ): EndpointStandIn {
    const reachedAt = this.getReached({ hostname: STORE_IP, port });
    return new EndpointStandIn({
      ...ENDPOINT_TERMS,
      id,
      service: models.length > 0 ? "engines" : "app",
      port,
      models,
      reachedAt,
    });
  }

  #publishEntries(): void {
    for (const endpoint of this.endpoints) {
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
    const hostname = this.links.all.length > 0 ? ip : STORE_IP;
    const store = this.getReached({ hostname, port: this.base });
    return createHostSettings({
      name: `host-${host}`,
      ip,
      store: `${store.hostname}:${store.port}`,
      port: this.base + 1,
    });
  }
}
