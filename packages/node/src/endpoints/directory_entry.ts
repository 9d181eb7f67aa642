/**
 * One endpoint of the directory and its client.
 * @module
 */
import type { Engine } from "@briarhill/ports/engine/engine";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import type { Service } from "@briarhill/ports/service/service";
import type { EndpointClients } from "./endpoint_clients.ts";
import type { KnownEndpoint } from "./endpoint_directory.ts";
import type { EndpointPoller } from "./endpoint_poller.ts";

/**
 * One endpoint of the directory. Its client is created at the first use, as a
 * host watches few of all engines.
 */
export class DirectoryEntry {
  known: KnownEndpoint;
  poller: EndpointPoller | undefined;
  #engine: Engine | undefined;
  #service: Service | undefined;

  constructor(listed: ListedEndpoint, leaving: boolean) {
    this.known = { listed, leaving, load: undefined, state: undefined };
  }

  /**
   * Returns the client of an engine; undefined for a service.
   *
   * @param clients - Creates the client.
   */
  getEngine(clients: EndpointClients): Engine | undefined {
    const { listed } = this.known;
    if (listed.kind === "engine") {
      this.#engine ??= clients.createEngine(listed);
    }
    return this.#engine;
  }

  /**
   * Returns the client of a service; undefined for an engine.
   *
   * @param clients - Creates the client.
   */
  getService(clients: EndpointClients): Service | undefined {
    const { listed } = this.known;
    if (listed.kind === "service") {
      this.#service ??= clients.createService(listed);
    }
    return this.#service;
  }
}
