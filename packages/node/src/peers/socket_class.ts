/**
 * Creates the WebSocket class that tRPC's client opens a link with.
 * @module
 */
import { connect, type NetConnectOpts } from "node:net";
import { WebSocket } from "ws";
import type { TrafficMeter } from "./traffic_meter.ts";

/** The maximum size of a message between hosts, in bytes. */
export const MAX_MESSAGE_BYTES = 1_048_576;

/** Options of `createSocketClass`. */
export interface SocketClassOptions {
  readonly meter: TrafficMeter;
  readonly timeoutMs: number;
  /** Called with each socket that is created. */
  readonly onCreated: (socket: WebSocket) => void;
}

/**
 * Creates a WebSocket class whose sockets are counted by a traffic meter.
 *
 * @example
 * ```ts
 * import { createWSClient } from "@trpc/client";
 *
 * createWSClient({ url, WebSocket: createSocketClass(options) as never });
 * ```
 * @param options - The traffic meter, the handshake timeout and a creation callback.
 */
export function createSocketClass(
  options: SocketClassOptions,
): new (url: string) => WebSocket {
  const { meter, timeoutMs, onCreated } = options;
  return class extends WebSocket {
    constructor(url: string) {
      super(url, {
        perMessageDeflate: false,
        maxPayload: MAX_MESSAGE_BYTES,
        handshakeTimeout: timeoutMs,
        createConnection: (connection: unknown) => {
          const socket = connect(connection as NetConnectOpts);
          socket.setNoDelay(true);
          meter.addSocket(socket);
          return socket;
        },
      });
      onCreated(this);
    }
  };
}
