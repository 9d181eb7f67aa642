/**
 * Observes one call of the HTTP client library, and corrects what it reports of
 * responses that end with their connection.
 * @module
 */
import { createResponseFault } from "@briarhill/common/http/response_fault";
import { DecoratorHandler, type Dispatcher, errors } from "undici";
import type { ResetMonitor } from "./reset_monitor.ts";

const FIRST_FINAL_STATUS = 200;
/** The maximum number of informational responses (1xx) to one request. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/** Options of {@link createResponseObserver}. */
export interface ResponseObserverOptions {
  readonly resets: ResetMonitor;
  /** Called after queueing and connecting, before any byte is sent. */
  readonly onStart: () => void;
}

/**
 * Creates a handler that passes events on except informational responses, and reports
 * a response that ends with a reset of its connection as failed.
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
  let informationalResponses = 0;
  return {
    onRequestStart: (controller, context) => {
      onStart();
      wrapped.onRequestStart?.(controller, context);
    },
    onResponseStart: (controller, status, ...head) => {
      if (status >= FIRST_FINAL_STATUS) {
        wrapped.onResponseStart?.(controller, status, ...head);
      } else if (++informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
        controller.abort(createEndlessError(status));
      }
    },
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

function createEndlessError(status: number): Error {
  return createResponseFault(
    "informational responses without end",
    `${status}`,
  );
}
