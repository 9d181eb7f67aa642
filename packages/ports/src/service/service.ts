/**
 * The port to a plain service beside the engines.
 * @module
 */

/** A call of a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** The path and query below the service's base address, starting with "/". */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: AsyncIterable<Uint8Array>;
}

/** The answer of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/** What a service reports of itself; reports lag. */
export interface ServiceLoad {
  readonly running: number;
  readonly slots: number;
  readonly leaving: boolean;
}

/** A plain service, reached over the network. */
export abstract class Service {
  /**
   * Calls the service once. A `PortError` says by its outcome whether the call may have run; reading the body
   * may fail with outcome "ran".
   *
   * @param request - What to call.
   * @param signal - Gives the call up.
   */
  abstract call(
    request: ServiceRequest,
    signal?: AbortSignal,
  ): Promise<ServiceResponse>;

  /** Returns the newest load report. */
  abstract getLoad(): Promise<ServiceLoad>;
}
