/**
 * The interface through which the other modules of a node read the known endpoints.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type {
  Engine,
  EngineState,
  LoadReport,
} from "@briarhill/ports/engine/engine";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import type { Service } from "@briarhill/ports/service/service";

/** An endpoint and its latest reported load and state. */
export interface KnownEndpoint {
  readonly listed: ListedEndpoint;
  /**
   * Whether the platform's list, the endpoint or a peer reported that it is
   * leaving; never reset for the same incarnation.
   */
  readonly leaving: boolean;
  readonly load: LoadReport | undefined;
  /** The monotonic time at which the load was measured. */
  readonly loadAsOfMs?: number;
  readonly state: EngineState | undefined;
}

/** The directory of the endpoints known to this host. */
export abstract class EndpointDirectory {
  /** Returns all known endpoints. */
  abstract getEndpoints(): readonly KnownEndpoint[];

  /**
   * Returns the client of an engine.
   *
   * @param id - The engine's id.
   */
  abstract getEngine(id: EndpointId): Engine | undefined;

  /**
   * Returns the client of a service endpoint.
   *
   * @param id - The endpoint's id.
   */
  abstract getService(id: EndpointId): Service | undefined;

  /**
   * Marks an endpoint as leaving, whatever the source of the report.
   *
   * @param id - The endpoint's id.
   */
  abstract setLeaving(id: EndpointId): void;

  /**
   * Registers a callback that runs after each change of the set or of a state.
   *
   * @param callback - The function to call.
   */
  abstract subscribe(callback: () => void): void;
}
