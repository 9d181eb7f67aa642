/**
 * Models a claim writer whose log responds immediately, in virtual time.
 * @module
 */
import {
  type ClaimStructure,
  decodeClaims,
  encodeClaims,
} from "@briarhill/routing/claims/claim_structure";
import {
  type ClaimCommand,
  ClaimWriter,
} from "@briarhill/routing/claims/claim_writer";
import { createHash } from "node:crypto";

const HOSTS = 370;
const CALL_ID_LENGTH = 36;

interface UnreadRecord {
  readonly offset: number;
  readonly timeMs: number;
  readonly text: string;
}

/** A claim writer whose log responds immediately, in virtual time. */
export class ClaimStreamModel {
  readonly #writer = new ClaimWriter();
  readonly #intervalMs: number;
  /** Records that are appended but not yet read. */
  #unread: UnreadRecord[] = [];
  #offset = 0;
  #appendedBytes = 0;
  #nowMs = 0;

  constructor(intervalMs: number) {
    this.#intervalMs = intervalMs;
  }

  /**
   * Claims a batch of keys and returns the number of appended bytes.
   *
   * @param first - The number of the first key.
   * @param count - The number of keys.
   */
  handleBatch(first: number, count: number): number {
    const before = this.#appendedBytes;
    const claims = Array.from(
      { length: count },
      (_, index) => createClaim(first + index),
    );
    this.#apply(this.#writer.add(claims, this.#nowMs));
    this.#nowMs += this.#intervalMs;
    this.#apply(this.#writer.advance(this.#nowMs));
    return this.#appendedBytes - before;
  }

  #apply(commands: readonly ClaimCommand[]): void {
    for (const command of commands) {
      if (command.kind === "append") {
        this.#append(command.claims);
      } else if (command.kind === "read") {
        this.#read();
      }
    }
  }

  #append(claims: readonly ClaimStructure[]): void {
    const text = encodeClaims(claims);
    const nowMs = this.#nowMs;
    this.#appendedBytes += text.length;
    this.#unread.push({ offset: this.#offset++, timeMs: nowMs, text });
    this.#apply(this.#writer.handleAppend(claims, { outcome: "ran", nowMs }));
  }

  #read(): void {
    const records = this.#unread.map(({ offset, timeMs, text }) => ({
      offset,
      timeMs,
      claims: decodeClaims(text),
    }));
    this.#unread = [];
    this.#apply(
      this.#writer.handlePage({ records, firstOffset: 0 }, this.#nowMs),
    );
  }
}

function createClaim(number: number): ClaimStructure {
  const keyHash = createHash("sha256").update(`${number}`).digest("hex");
  return {
    callId: keyHash.slice(0, CALL_ID_LENGTH),
    keyHash,
    holder: `entry-${number % HOSTS}`,
    incarnation: 1_700_000_000_000,
  };
}
