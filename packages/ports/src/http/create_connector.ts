/**
 * Opens the connections of an HTTP client, and has each of them checked, watched
 * and paced from the start.
 * @module
 */
import { buildConnector } from "undici";
import { addGuardedSocket } from "./guarded_sockets.ts";
import type { ReadPacer } from "./read_pacer.ts";
import type { ResetMonitor } from "./reset_monitor.ts";

/** Options of {@link createConnector}. */
export interface ConnectorOptions {
  /** The timeout for opening a connection, in milliseconds. */
  readonly timeoutMs: number;
  readonly resets: ResetMonitor;
  /** Delays the reads, if given; a connection then stops reading at any unread byte. */
  readonly pacer: ReadPacer | undefined;
}

/**
 * Creates the function that opens connections.
 *
 * @example
 * ```ts
 * import { ResetMonitor } from "./reset_monitor.ts";
 *
 * const connect = createConnector({
 *   timeoutMs: 2_000,
 *   resets: new ResetMonitor(),
 *   pacer: undefined,
 * });
 * ```
 * @param options - The timeout, and what watches and paces the connections.
 */
export function createConnector(
  { timeoutMs: timeout, resets, pacer }: ConnectorOptions,
): buildConnector.connector {
  const bufferOptions = pacer === undefined
    ? {}
    : { highWaterMark: undefined, readableHighWaterMark: 1 };
  const connect = buildConnector({ timeout, ...bufferOptions });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error === null) {
        addGuardedSocket(socket);
        resets.addSocket(socket);
        pacer?.addSocket(socket);
        callback(null, socket);
      } else {
        callback(error, null);
      }
    });
}
