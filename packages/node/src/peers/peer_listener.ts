/**
 * Accepts links of peers on the peer port. A link is authenticated by the router
 * before any request other than the handshake is handled.
 * @module
 */
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { WebSocketServer } from "ws";
import { openPort } from "../http/open_port.ts";
import type { ListenAddress } from "../settings/node_settings.ts";
import { AcceptedPeer } from "./accepted_peer.ts";
import { PeerEncoder } from "./peer_encoder.ts";
import type { PeerContext } from "./peer_network_setup.ts";
import { createPeerRouter } from "./peer_router.ts";
import { MAX_MESSAGE_BYTES } from "./socket_class.ts";

const HTTP_UPGRADE_REQUIRED = 426;

/** Accepts links of peers. */
export class PeerListener {
  readonly #server: Server;
  readonly #sockets: WebSocketServer;

  constructor(context: PeerContext) {
    this.#server = createServer((_request, response) => {
      response.writeHead(HTTP_UPGRADE_REQUIRED).end();
    });
    this.#server.on("connection", (socket: Socket) => {
      socket.setNoDelay(true);
      context.meter.addSocket(socket);
    });
    this.#sockets = new WebSocketServer({
      server: this.#server,
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
    });
    // The HTTP server's errors are also emitted here; start() reports them.
    this.#sockets.on("error", () => {});
    applyWSSHandler({
      wss: this.#sockets,
      router: createPeerRouter(context.responder),
      experimental_encoder: new PeerEncoder(context.meter),
      onError: () => {},
      createContext: ({ res }) => ({
        peer: new AcceptedPeer(res, context.authenticator),
      }),
    });
  }

  /**
   * Starts listening and returns the port.
   *
   * @param listen - The address and port to listen on.
   */
  start(listen: ListenAddress): Promise<number> {
    return openPort(this.#server, listen);
  }

  /** Closes all links and stops listening. */
  stop(): Promise<void> {
    this.#sockets.clients.forEach((socket) => socket.terminate());
    return new Promise((resolve) => {
      this.#sockets.close();
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}
