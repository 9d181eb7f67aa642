/**
 * The endpoints known to this host, as the other parts of a node see them.
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

/** One endpoint and the newest that is known of it. */
export interface KnownEndpoint {
  readonly listed: ListedEndpoint;
  /** Whether any sign said that it is leaving; sticky for its incarnation. */
  readonly leaving: boolean;
  readonly load: LoadReport | undefined;
  /** The monotonic time that the load report describes. */
  readonly loadAsOfMs?: number;
  readonly state: EngineState | undefined;
}

/** The endpoints known to this host. */
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
   * Notes that an endpoint is leaving, whoever said so.
   *
   * @param id - The endpoint's id.
   */
  abstract setLeaving(id: EndpointId): void;

  /**
   * Calls back after each change of the set or of a state.
   *
   * @param callback - What to call.
   */
  abstract subscribe(callback: () => void): void;
}
