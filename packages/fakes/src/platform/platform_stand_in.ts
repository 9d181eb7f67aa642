/**
 * A complete platform for tests and soak runs: a store, endpoints and a client of
 * hosts.
 * @module
 */
import {
  ENDPOINT_TOPIC,
  OPERATOR_TOPIC,
} from "@briarhill/platform/names/topics";
import { EndpointStandIn } from "./endpoint_stand_in.ts";
import {
  FIRST_SOFTWARE_VERSION,
  formatText,
  SECOND_SOFTWARE_VERSION,
} from "./event_text.ts";
import { HostClient } from "./host_client.ts";
import {
  type ConfiguredWorkspace,
  createConfiguration,
} from "./platform_configuration.ts";
import { getHostProxyAddress, PlatformLinks } from "./platform_links.ts";
import { createHostSettings } from "./host_settings_text.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const STORE_IP = "127.0.0.1";
const ENGINES = 2;
const PUBLISH_INTERVAL_MS = 300;
const EVENTS_PER_SAMPLE = 8;
const ENDPOINT_DEFAULTS = {
  hostname: STORE_IP,
  zone: "a",
  events: EVENTS_PER_SAMPLE,
  eventMs: 5,
  loadMs: 100,
};

/** A store, endpoints and a client on addresses of the loopback network. */
export class PlatformStandIn extends HostClient {
  readonly store = new StoreStandIn();
  readonly engines: readonly EndpointStandIn[];
  readonly services: readonly EndpointStandIn[];
  readonly links: PlatformLinks;
  /** The workspaces of the next version of the configuration; without any, requests need no key. */
  workspaces: readonly ConfiguredWorkspace[] = [];
  #configurationVersion = 2;
  #weightVersion = 1;
  #publishTimer: ReturnType<typeof setInterval> | undefined;

  /**
   * @param base - The first of about twenty free ports; with links, as many ports
   * starting 100 and 200 higher have to be free too.
   * @param hosts - The number of hosts whose connections run through fault proxies
   * (links), incoming and outgoing; 0 for no links.
   * @param services - The number of endpoints of the plain service, at most five.
   */
  constructor(base: number, hosts = 0, services = 2) {
    super(base, hosts > 0);
    this.engines = Array.from(
      { length: ENGINES },
      (_, number) =>
        this.#createEndpoint(`engine-${number}`, base + 10 + number, ["m0"]),
    );
    this.services = Array.from(
      { length: services },
      (_, number) =>
        this.#createEndpoint(`service-${number}`, base + 15 + number, []),
    );
    this.links = new PlatformLinks({
      store: { hostname: STORE_IP, port: base },
      hosts: Array.from({ length: hosts }, (_, host) => this.getAddress(host)),
      endpoints: hosts === 0
        ? []
        : this.endpoints.map(({ options }) => options),
    });
  }

  /**
   * Starts the store, the endpoints and the links, then publishes the
   * configuration and the endpoint entries.
   */
  async start(): Promise<void> {
    await this.store.start(STORE_IP, this.firstPort);
    await Promise.all(this.endpoints.map((endpoint) => endpoint.start()));
    await this.links.start();
    this.links.endpointLinks.forEach((_, host) =>
      this.store.setView(this.getIp(host), ENDPOINT_TOPIC, this.#getView(host))
    );
    this.publishConfiguration();
    this.#publishEntries();
    this.#publishTimer = setInterval(
      () => this.#publishEntries(),
      PUBLISH_INTERVAL_MS,
    );
  }

  /** All engines and services. */
  get endpoints(): readonly EndpointStandIn[] {
    return [...this.engines, ...this.services];
  }

  /** The text of complete samples and streams of the first software version. */
  get completeText(): string {
    return formatText(FIRST_SOFTWARE_VERSION, EVENTS_PER_SAMPLE);
  }

  /** The texts of complete samples and streams, one for each software version. */
  get completeTexts(): readonly string[] {
    return [
      this.completeText,
      formatText(SECOND_SOFTWARE_VERSION, EVENTS_PER_SAMPLE),
    ];
  }

  /** Publishes the next version of the configuration. */
  publishConfiguration(): void {
    this.store.publish(
      OPERATOR_TOPIC,
      "config",
      createConfiguration(++this.#configurationVersion, this.workspaces),
    );
  }

  /** Publishes the next weight version of the model. */
  publishVersion(): void {
    this.store.publish(OPERATOR_TOPIC, "version/m0", {
      model: "m0",
      version: ++this.#weightVersion,
    });
  }

  /** Stops publishing, and closes the links, the store and the endpoints. */
  stop(): void {
    clearInterval(this.#publishTimer);
    this.links.close();
    this.store.close();
    for (const endpoint of this.endpoints) {
      endpoint.crash.stop();
      endpoint.close();
    }
  }

  #createEndpoint(
    id: string,
    port: number,
    models: readonly string[],
  ): EndpointStandIn {
    const reachedAt = this.getReachableAddress({ hostname: STORE_IP, port });
    return new EndpointStandIn({
      ...ENDPOINT_DEFAULTS,
      id,
      service: models.length > 0 ? "engines" : "app",
      port,
      models,
      advertisedAddress: reachedAt,
    });
  }

  #publishEntries(): void {
    for (const endpoint of this.endpoints) {
      if (endpoint.crash.isDown) {
        continue;
      }
      this.publishEntry(endpoint);
    }
  }

  /**
   * Publishes the next entry of an endpoint.
   *
   * @param endpoint - The endpoint.
   */
  publishEntry(endpoint: EndpointStandIn): void {
    const { id } = endpoint.options;
    const entry = endpoint.createEntry();
    this.store.publish(ENDPOINT_TOPIC, id, entry);
    this.links.endpointLinks.forEach((_, host) => {
      const { hostname, port } = getHostProxyAddress(
        this.getIp(host),
        endpoint.options,
      );
      const address = `${hostname}:${port}`;
      this.store.publish(this.#getView(host), id, { ...entry, address });
    });
  }

  /** The list of endpoints as one host reads it, with the addresses of its own links. */
  #getView(host: number): string {
    return `${ENDPOINT_TOPIC}.${host}`;
  }

  /**
   * Returns the settings of a host as INI text.
   *
   * @param host - The host's number.
   */
  createSettings(host: number): string {
    const ip = this.getIp(host);
    const hostname = this.links.all.length > 0 ? ip : STORE_IP;
    const store = this.getReachableAddress({ hostname, port: this.firstPort });
    return createHostSettings({
      name: `host-${host}`,
      ip,
      store: `${store.hostname}:${store.port}`,
      port: this.firstPort + 1,
    });
  }
}
