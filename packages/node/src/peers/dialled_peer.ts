/**
 * The dialling end of a link: tRPC over one WebSocket. The WebSocket is never
 * reopened; the caller replaces a failed link by dialling again.
 * @module
 */
import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import {
  createTRPCClient,
  createWSClient,
  type TRPCClient,
  TRPCClientError,
  wsLink,
} from "@trpc/client";
import type { WebSocket } from "ws";
import type { LinkPurpose } from "./accepted_peer.ts";
import { parseReply } from "./peer_message.ts";
import { createSocketClass } from "./socket_class.ts";
import type { PeerAuthenticator, PeerIdentity } from "./peer_authenticator.ts";
import {
  type CallFailure,
  HELLO_REPLY,
  type PeerRouter,
} from "./peer_router.ts";
import { ReplyEncoder } from "./reply_encoder.ts";
import type { TrafficMeter } from "./traffic_meter.ts";

/** The method by which tRPC's client reopens its connection when a request is pending. */
interface ReopeningClient {
  open: () => Promise<void>;
}

/** Options of `DialledPeer.open`. */
export interface DialOptions {
  readonly address: string;
  readonly purpose: LinkPurpose;
  readonly identity: PeerIdentity;
  readonly authenticator: PeerAuthenticator;
  readonly meter: TrafficMeter;
  readonly timeoutMs: number;
}

/** The dialling end of a link. */
export class DialledPeer {
  readonly #options: DialOptions;
  readonly #socketClient: ReturnType<typeof createWSClient>;
  readonly #client: TRPCClient<PeerRouter>;
  readonly #closed: Promise<void>;
  #setClosed: () => void = () => {};
  #isClosed = false;
  #socket: WebSocket | undefined;
  #peer: PeerIdentity = { host: "", incarnation: 0 };

  private constructor(options: DialOptions) {
    this.#options = options;
    this.#closed = new Promise((resolve) => this.#setClosed = resolve);
    this.#socketClient = createWSClient({
      url: `ws://${options.address}/`,
      WebSocket: createSocketClass({
        ...options,
        onCreated: (socket) => this.#socket = socket,
      }) as never,
      experimental_encoder: new ReplyEncoder(
        options.meter,
        () => this.close(),
      ),
      onClose: () => this.close(),
      onError: () => this.close(),
    });
    const client = this.#socketClient;
    this.#client = createTRPCClient<PeerRouter>({
      links: [wsLink({ client })],
    });
  }

  /**
   * Opens and authenticates a link; fails with a `PortError`.
   *
   * @param options - The address to dial and the identity of this host.
   */
  static async open(options: DialOptions): Promise<DialledPeer> {
    const peer = new DialledPeer(options);
    try {
      await peer.#runHandshake();
      return peer;
    } catch (error) {
      peer.close();
      throw error;
    }
  }

  /** Returns the identity of the accepting host. */
  getPeer(): PeerIdentity {
    return this.#peer;
  }

  /** Returns whether the link is closed. */
  isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Registers a callback that runs once the link is closed.
   *
   * @param callback - The callback to run.
   */
  subscribeClosed(callback: () => void): void {
    void this.#closed.then(callback);
  }

  /**
   * Subscribes to the messages that the peer pushes.
   *
   * @param callback - The callback that receives each message.
   */
  subscribePushMessages(callback: (message: unknown) => void): void {
    if (this.#isClosed) {
      return;
    }
    this.#client.news.subscribe(undefined, {
      onData: callback,
      onError: () => this.close(),
    });
  }

  /**
   * Sends a batch of gossip, and resolves once the peer has acknowledged it.
   *
   * @param message - Plain data.
   */
  async sendGossip(message: unknown): Promise<void> {
    await this.#runRequest("gossip", () => this.#client.gossip.mutate(message));
  }

  /** Sends a ping, and resolves once the peer has replied. */
  async sendPing(): Promise<void> {
    await this.#runRequest("ping", () => this.#client.ping.mutate());
  }

  /**
   * Calls a procedure; fails with a `PortError`.
   *
   * @param procedure - The procedure's name.
   * @param call - The procedure's input and the timeout.
   */
  call(
    procedure: string,
    call: { readonly input: unknown; readonly timeoutMs: number },
  ): Promise<unknown> {
    const signal = AbortSignal.timeout(call.timeoutMs);
    return this.#runRequest(
      procedure,
      () => this.#client.request.mutate([procedure, call.input], { signal }),
    );
  }

  /** Closes the link at once; requests in flight fail with outcome `unknown`. */
  close(): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    // A request that waits for the socket would make the client reopen the
    // connection, and it would then redial indefinitely.
    const client = this.#socketClient as unknown as ReopeningClient;
    client.open = () => Promise.resolve();
    void this.#socketClient.close().catch(() => {});
    this.#socket?.terminate();
    this.#setClosed();
  }

  async #runHandshake(): Promise<void> {
    const { identity, authenticator, purpose, timeoutMs } = this.#options;
    const signal = AbortSignal.timeout(timeoutMs);
    const nonce = authenticator.createNonce();
    const hello = [identity.host, identity.incarnation, nonce] as const;
    const [host, incarnation, acceptorNonce, bytes] = await this.#runDialStep(
      async () =>
        parseReply(await this.#client.hello.mutate([...hello], { signal }), {
          schema: HELLO_REPLY,
          operation: "hello",
        }),
    );
    const acceptor = { host, incarnation };
    const nonces = { diallerNonce: nonce, acceptorNonce };
    const handshake = { dialler: identity, acceptor, ...nonces };
    authenticator.throwIfInvalidProof({ role: "acceptor", bytes }, handshake);
    const proof = authenticator.createProof("dialler", handshake);
    await this.#runDialStep(() =>
      this.#client.prove.mutate([proof, purpose], { signal })
    );
    this.#peer = acceptor;
  }

  /** Fails with outcome `not-run`, as no call is sent before the handshake completes. */
  async #runDialStep<T>(send: () => Promise<T>): Promise<T> {
    const closed = this.#closed.then(() => {
      throw this.#createError("dial", "refused", "not-run");
    });
    try {
      return await Promise.race([this.#sendIfOpen(send), closed]);
    } catch (cause) {
      throw this.#createError("dial", "refused", "not-run", cause);
    }
  }

  async #runRequest<T>(operation: string, send: () => Promise<T>): Promise<T> {
    const closed = this.#closed.then(() => {
      throw this.#createError(operation, "reset", "unknown");
    });
    try {
      return await Promise.race([this.#sendIfOpen(send), closed]);
    } catch (cause) {
      if (cause instanceof PortError) {
        throw cause;
      }
      throw this.#toPortError(operation, cause);
    }
  }

  /** Never resolves on a closed link, where a request would make tRPC redial indefinitely. */
  #sendIfOpen<T>(send: () => Promise<T>): Promise<T> {
    return this.#isClosed ? new Promise(() => {}) : send();
  }

  #toPortError(operation: string, cause: unknown): PortError {
    if (cause instanceof TRPCClientError) {
      const failure = cause.data as CallFailure | undefined;
      if (failure !== undefined && failure !== null) {
        const { outcome } = failure;
        return this.#createError(operation, "rejected", outcome, cause);
      }
    }
    return this.#createError(operation, "silent", "unknown", cause);
  }

  #createError(
    operation: string,
    fault: PortFault,
    outcome: Outcome,
    cause?: unknown,
  ): PortError {
    const reason = cause instanceof Error ? `: ${cause.message}` : "";
    return new PortError(
      `request to the peer at ${this.#options.address} failed in "${operation}"${reason}`,
      { cause, props: { port: "peers", operation, fault, outcome } },
    );
  }
}
