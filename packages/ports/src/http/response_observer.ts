/**
 * Observes one call of the HTTP client library, and corrects what it reports of
 * responses that end with their connection.
 * @module
 */
import { DecoratorHandler, type Dispatcher, errors } from "undici";
import type { ResetMonitor } from "./reset_monitor.ts";

/** Options of {@link createResponseObserver}. */
export interface ResponseObserverOptions {
  readonly resets: ResetMonitor;
  /** Called after queueing and connecting, before any byte is sent. */
  readonly onStart: () => void;
}

/**
 * Creates a handler that passes events on, and reports a response that ends with a
 * reset of its connection as failed.
 *
 * @example
 * ```ts
 * import type { Dispatcher } from "undici";
 * import { ResetMonitor } from "./reset_monitor.ts";
 *
 * declare const handler: Dispatcher.DispatchHandler;
 *
 * const observer = createResponseObserver(handler, {
 *   resets: new ResetMonitor(),
 *   onStart: () => undefined,
 * });
 * ```
 * @param handler - The handler of the call.
 * @param options - The resets of the client's connections, and the callback.
 */
export function createResponseObserver(
  handler: Dispatcher.DispatchHandler,
  { resets, onStart }: ResponseObserverOptions,
): Dispatcher.DispatchHandler {
  const wrapped: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
  return {
    onRequestStart: (controller, context) => {
      onStart();
      wrapped.onRequestStart?.(controller, context);
    },
    onResponseStart: (...head) => wrapped.onResponseStart?.(...head),
    onResponseData: (...data) => wrapped.onResponseData?.(...data),
    onResponseEnd: (controller, trailers) =>
      resets.isReporting
        ? wrapped.onResponseError?.(controller, createResetError())
        : wrapped.onResponseEnd?.(controller, trailers),
    onResponseError: (...failure) => wrapped.onResponseError?.(...failure),
  };
}

/** `CallProgress` turns it into a {@link PortError} with the name of the port. */
function createResetError(): Error {
  return new errors.SocketError("the connection was reset");
}
