/**
 * Defines the port to a plain service, which is an endpoint that is not a model
 * engine.
 * @module
 */

/** A request to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** The path and query below the service's base address, starting with "/". */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: AsyncIterable<Uint8Array>;
}

/** The response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/**
 * The utilization that a service reports about itself; reports lag behind the
 * actual state.
 */
export interface ServiceLoad {
  readonly running: number;
  readonly slots: number;
  readonly leaving: boolean;
}

/** A plain service that is called over the network. */
export abstract class Service {
  /**
   * Calls the service once. The outcome of a `PortError` reports whether the
   * call may have run; reading the body may fail with outcome "ran".
   *
   * @param request - The request.
   * @param signal - Cancels the call.
   */
  abstract call(
    request: ServiceRequest,
    signal?: AbortSignal,
  ): Promise<ServiceResponse>;

  /** Returns the latest load report. */
  abstract getLoad(): Promise<ServiceLoad>;
}
