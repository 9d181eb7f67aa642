/**
 * Claims idempotency keys through the host that writes their stream, and
 * reports the state of this host's calls to the other hosts. A call must not be
 * sent unless its claim was won.
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
const PRUNE_INTERVAL_MS = 60_000;

/** Claims idempotency keys, and reports the state of this host's claimed calls. */
export class ClaimManager {
  /** The claimed calls of this host. */
  readonly table: CallTable = new CallTable();
  readonly #context: NodeContext;
  readonly #peers: PeerNetwork;
  readonly #streams = new Map<string, ClaimStream>();
  #streamsPrunedAtMs = 0;

  constructor(context: NodeContext, peers: PeerNetwork) {
    this.#context = context;
    this.#peers = peers;
    peers.register(
      CLAIM_PROCEDURE,
      (input) => this.#claimLocally(parseMessage(input, CLAIM)),
    );
    peers.register(REPORT_PROCEDURE, (input) => {
      const { callId } = parseMessage(input, REPORT_INPUT);
      return Promise.resolve(encodeReport(this.table.getReport(callId)));
    });
  }

  /**
   * Claims a key for a call of this host. The order of the records in the log
   * decides between claims, even if two hosts write the stream at once.
   *
   * @param callId - The call.
   * @param key - The hash of the key, and the call whose claim this claim supersedes.
   */
  async claim(
    callId: CallId,
    key: { readonly keyHash: string; readonly supersedes: CallId | undefined },
  ): Promise<ClaimVerdict> {
    const { host, incarnation } = this.#peers.getLocalMember();
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
      ? await this.#claimLocally(claim)
      : await this.#claimRemotely(writer, claim);
  }

  /**
   * Fetches the report on a call from the holder of its claim. Returns
   * undefined if the holder is unreachable or has no report.
   *
   * @param owner - The claim that owns the key.
   */
  async fetchReport(owner: ClaimStructure): Promise<CallReport | undefined> {
    const { callId, holder } = owner;
    if (holder === this.#peers.getLocalMember().host) {
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
    const { host } = this.#peers.getLocalMember();
    const members = this.#peers.getMembers()
      .filter((member) => member.state === "alive" || member.host === host)
      .map((member) => member.host);
    return listOwners(stream, { members, count: 1 })[0] ?? host;
  }

  #claimLocally(claim: ClaimStructure): Promise<ClaimVerdict> {
    const name = getClaimStream(claim.keyHash);
    const stream = this.#streams.get(name) ??
      new ClaimStream(this.#context, name);
    this.#streams.set(name, stream);
    this.#pruneStreams();
    return stream.claim(claim);
  }

  /** Removes the idle streams that another host writes now, at most once per interval. */
  #pruneStreams(): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    if (nowMs - this.#streamsPrunedAtMs < PRUNE_INTERVAL_MS) {
      return;
    }
    this.#streamsPrunedAtMs = nowMs;
    const { host } = this.#peers.getLocalMember();
    for (const [name, stream] of this.#streams) {
      if (stream.isIdle() && this.#getWriter(name) !== host) {
        this.#streams.delete(name);
      }
    }
  }

  /** Claims at another host. Without a verdict the claim is unsettled, and its call is not sent. */
  async #claimRemotely(
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
