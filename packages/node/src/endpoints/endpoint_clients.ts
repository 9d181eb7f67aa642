/**
 * The factory interface for clients of endpoints and scorers.
 * @module
 */
import type { Engine } from "@briarhill/ports/engine/engine";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import type { Scorer } from "@briarhill/ports/scorer/scorer";
import type { Service } from "@briarhill/ports/service/service";

/** Creates clients of engines, service endpoints and scorers. */
export abstract class EndpointClients {
  /**
   * Creates the client of an engine.
   *
   * @param listed - The engine's entry in the platform's list.
   */
  abstract createEngine(listed: ListedEndpoint): Engine;

  /**
   * Creates the client of a service endpoint.
   *
   * @param listed - The endpoint's entry in the platform's list.
   */
  abstract createService(listed: ListedEndpoint): Service;

  /**
   * Creates the client of a scorer.
   *
   * @param address - The base address of the scorer.
   */
  abstract createScorer(address: string): Scorer;
}
