/**
 * Claims keys through the host that writes their stream, and answers for the
 * calls of this host.
 * @module
 */
import {
  type CallReport,
  CallTable,
} from "@briarhill/routing/claims/call_table";
import {
  type CallId,
  type ClaimStructure,
  type ClaimVerdict,
  getClaimStream,
} from "@briarhill/routing/claims/claim_structure";
import { listOwners } from "@briarhill/common/hashing/rendezvous";
import type { NodeContext } from "../node/node_context.ts";
import { parseMessage, parseReply } from "../peers/peer_message.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import {
  CLAIM,
  decodeReport,
  encodeReport,
  REPORT_INPUT,
  VERDICT,
} from "./claim_schema.ts";
import { ClaimStream } from "./claim_stream.ts";

const CLAIM_PROCEDURE = "claims.claim";
const REPORT_PROCEDURE = "claims.report";
const CLAIM_TIMEOUT_MS = 4000;
const REPORT_TIMEOUT_MS = 2000;
const DROP_INTERVAL_MS = 60_000;

/** Claims keys, and answers for the calls of this host. */
export class ClaimKeeper {
  /** The claimed calls of this host. */
  readonly table: CallTable = new CallTable();
  readonly #context: NodeContext;
  readonly #peers: PeerNetwork;
  readonly #streams = new Map<string, ClaimStream>();
  #droppedAtMs = 0;

  constructor(context: NodeContext, peers: PeerNetwork) {
    this.#context = context;
    this.#peers = peers;
    peers.register(
      CLAIM_PROCEDURE,
      (input) => this.#claimHere(parseMessage(input, CLAIM)),
    );
    peers.register(REPORT_PROCEDURE, (input) => {
      const { callId } = parseMessage(input, REPORT_INPUT);
      return Promise.resolve(encodeReport(this.table.getReport(callId)));
    });
  }

  /**
   * Claims a key for a call of this host. Whichever host writes the stream,
   * and were it two at once, the order of the log decides.
   *
   * @param callId - The call.
   * @param key - The hash of the key, and the call that it is claimed after.
   */
  async claim(
    callId: CallId,
    key: { readonly keyHash: string; readonly supersedes: CallId | undefined },
  ): Promise<ClaimVerdict> {
    const { host, incarnation } = this.#peers.getSelf();
    const { keyHash, supersedes } = key;
    const claim: ClaimStructure = {
      callId,
      keyHash,
      holder: host,
      incarnation,
      ...(supersedes === undefined ? {} : { supersedes }),
    };
    const writer = this.#getWriter(getClaimStream(keyHash));
    return writer === host
      ? await this.#claimHere(claim)
      : await this.#claimAt(writer, claim);
  }

  /**
   * Asks the holder of a claim for its call; returns undefined when it can't
   * be asked.
   *
   * @param owner - The claim.
   */
  async fetchReport(owner: ClaimStructure): Promise<CallReport | undefined> {
    const { callId, holder } = owner;
    if (holder === this.#peers.getSelf().host) {
      return this.table.getReport(callId);
    }
    try {
      return decodeReport(
        await this.#peers.call(holder, {
          procedure: REPORT_PROCEDURE,
          input: { callId },
          timeoutMs: REPORT_TIMEOUT_MS,
        }),
      );
    } catch (error) {
      this.#context.logger.error("claim-report-failed", error, { holder });
      return undefined;
    }
  }

  #getWriter(stream: string): string {
    const { host } = this.#peers.getSelf();
    const members = this.#peers.getMembers()
      .filter((member) => member.state === "alive" || member.host === host)
      .map((member) => member.host);
    return listOwners(stream, { members, count: 1 })[0] ?? host;
  }

  #claimHere(claim: ClaimStructure): Promise<ClaimVerdict> {
    const name = getClaimStream(claim.keyHash);
    const stream = this.#streams.get(name) ??
      new ClaimStream(this.#context, name);
    this.#streams.set(name, stream);
    this.#dropUnwritten();
    return stream.claim(claim);
  }

  /** A stream that another host writes now need not be remembered here. */
  #dropUnwritten(): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    if (nowMs - this.#droppedAtMs < DROP_INTERVAL_MS) {
      return;
    }
    this.#droppedAtMs = nowMs;
    const { host } = this.#peers.getSelf();
    for (const [name, stream] of this.#streams) {
      if (stream.isIdle() && this.#getWriter(name) !== host) {
        this.#streams.delete(name);
      }
    }
  }

  /** A verdict that does not arrive leaves the claim unsettled, and its call unsent. */
  async #claimAt(
    writer: string,
    claim: ClaimStructure,
  ): Promise<ClaimVerdict> {
    try {
      const reply = await this.#peers.call(writer, {
        procedure: CLAIM_PROCEDURE,
        input: claim,
        timeoutMs: CLAIM_TIMEOUT_MS,
      });
      return parseReply(reply, {
        schema: VERDICT,
        operation: CLAIM_PROCEDURE,
      });
    } catch (error) {
      this.#context.logger.error("claim-failed", error, { writer });
      return { kind: "unsettled" };
    }
  }
}
