/**
 * Creates HTTP clients of endpoints and scorers.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { Engine } from "@briarhill/ports/engine/engine";
import { HttpEngine } from "@briarhill/ports/engine/http_engine";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import { ReadPacer } from "@briarhill/ports/http/read_pacer";
import { HttpScorer } from "@briarhill/ports/scorer/http_scorer";
import type { Scorer } from "@briarhill/ports/scorer/scorer";
import { HttpService } from "@briarhill/ports/service/http_service";
import type { Service } from "@briarhill/ports/service/service";
import { EndpointClients } from "./endpoint_clients.ts";

/** Creates HTTP clients of engines, service endpoints and scorers. */
export class HttpEndpointClients extends EndpointClients {
  /** Shared by the clients of all engines, so that their streams are paced together. */
  readonly #pacer: ReadPacer;

  constructor(clock: Clock) {
    super();
    this.#pacer = new ReadPacer(clock);
  }

  override createEngine(listed: ListedEndpoint): Engine {
    return new HttpEngine(listed.address, { pacer: this.#pacer });
  }

  override createService(listed: ListedEndpoint): Service {
    return new HttpService(listed.address);
  }

  override createScorer(address: string): Scorer {
    return new HttpScorer(address);
  }
}
