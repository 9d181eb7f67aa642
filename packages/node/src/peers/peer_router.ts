/**
 * The tRPC procedures that a host serves to its peers. Every procedure other than
 * the handshake requires an authenticated peer.
 * @module
 */
import { BriarhillError, StateError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import type { AcceptedPeer, LinkPurpose } from "./accepted_peer.ts";
import type { PeerIdentity } from "./peer_authenticator.ts";

/** The handlers of a host that the procedures delegate to. */
export interface PeerResponder {
  /** Returns the identity of this host. */
  getIdentity(): PeerIdentity;

  /**
   * Handles a link whose peer has authenticated.
   *
   * @param peer - The accepting end of the link.
   * @param purpose - The kind of traffic that the link carries.
   */
  handleAccepted(peer: AcceptedPeer, purpose: LinkPurpose): void;

  /**
   * Handles a batch of gossip.
   *
   * @param peer - The link that the batch was received on.
   * @param message - The encoded batch.
   */
  handleGossip(peer: AcceptedPeer, message: unknown): void;

  /**
   * Handles a call and returns its result.
   *
   * @param call - The procedure and its input.
   * @param from - The identity of the caller.
   */
  handleCall(
    call: { readonly procedure: string; readonly input: unknown },
    from: PeerIdentity,
  ): Promise<unknown>;
}

/** The error data by which a caller distinguishes a failed call from a broken link. */
export interface CallFailure {
  readonly name: string;
  readonly outcome: Outcome;
}

const BYTES = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const HELLO = z.tuple([z.string(), z.number().int(), BYTES]);
/** The reply to `hello`: the acceptor's host, incarnation, nonce and proof. */
export const HELLO_REPLY: z.ZodType<
  readonly [string, number, Uint8Array, Uint8Array]
> = z.tuple([z.string(), z.number().int(), BYTES, BYTES]);
const PROOF = z.tuple([BYTES, z.enum(["gossip", "call"])]);
const CALL = z.tuple([z.string(), z.unknown()]);

/** The type of the router, from which tRPC clients derive their types. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

interface LinkContext {
  readonly peer: AcceptedPeer;
}

const trpc = initTRPC.context<LinkContext>().create({
  isDev: false,
  errorFormatter: ({ shape, error }) => ({
    ...shape,
    data: toCallFailure(error.cause),
  }),
});

/** A procedure that rejects peers that have not authenticated; all but the handshake use it. */
const authenticatedProcedure = trpc.procedure.use(({ ctx, next }) => {
  ctx.peer.getPeerOrThrow();
  return next();
});

/**
 * Creates the router with the procedures that a host serves.
 *
 * @example
 * ```ts
 * import { applyWSSHandler } from "@trpc/server/adapters/ws";
 *
 * applyWSSHandler({ wss, router: createPeerRouter(responder), createContext });
 * ```
 * @param responder - The handlers to delegate to.
 */
// deno-lint-ignore explicit-module-boundary-types
export function createPeerRouter(responder: PeerResponder) {
  return trpc.router({
    hello: trpc.procedure.input(HELLO).mutation(({ ctx, input }) => {
      const [host, incarnation, nonce] = input;
      const acceptor = responder.getIdentity();
      const reply = ctx.peer.handleHello(
        { host, incarnation, nonce },
        acceptor,
      );
      return [acceptor.host, acceptor.incarnation, reply.nonce, reply.proof];
    }),
    prove: trpc.procedure.input(PROOF).mutation(({ ctx, input }) => {
      const [proof, purpose] = input;
      ctx.peer.handleProof(proof);
      responder.handleAccepted(ctx.peer, purpose);
    }),
    gossip: authenticatedProcedure.input(z.unknown()).mutation(
      ({ ctx, input }) => {
        responder.handleGossip(ctx.peer, input);
      },
    ),
    news: authenticatedProcedure.subscription(({ ctx, signal }) =>
      ctx.peer.streamPushMessages(signal ?? new AbortController().signal)
    ),
    ping: authenticatedProcedure.mutation(() => {}),
    request: authenticatedProcedure.input(CALL).mutation(({ ctx, input }) => {
      const [procedure, argument] = input;
      const call = { procedure, input: argument };
      return responder.handleCall(call, ctx.peer.getPeerOrThrow());
    }),
  });
}

function toCallFailure(cause: unknown): CallFailure {
  return cause instanceof BriarhillError && !(cause instanceof StateError)
    ? { name: cause.name, outcome: cause.outcome }
    : { name: "unknown", outcome: "unknown" };
}
