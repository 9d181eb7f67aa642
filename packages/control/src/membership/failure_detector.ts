/**
 * Failure detection: closes links that receive nothing, suspects hosts that
 * cannot be dialled, and declares failed the suspects that did not refute the
 * suspicion in time.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import type { DialRegistry } from "./dial_registry.ts";
import type { LinkRegistry } from "./link_registry.ts";
import type { MemberTable } from "./member_table.ts";
import type { MemberUpdates } from "./member_updates.ts";
import type { MembershipCommand } from "./membership_message.ts";
import type { MembershipOptions } from "./membership_options.ts";

/** The options and the state that a `FailureDetector` reads and changes. */
export interface FailureDetectorContext {
  readonly options: MembershipOptions;
  readonly table: MemberTable;
  readonly links: LinkRegistry;
  readonly dials: DialRegistry;
  readonly updates: MemberUpdates;
}

/** Detects failed links, dials and hosts. */
export class FailureDetector {
  readonly #context: FailureDetectorContext;
  #lastAdvanceMs: number;

  constructor(context: FailureDetectorContext, nowMs: number) {
    this.#context = context;
    this.#lastAdvanceMs = nowMs;
  }

  /**
   * Records the failures up to now and returns the links to close.
   *
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly MembershipCommand[] {
    this.#handlePause(nowMs);
    this.#decideFailures(nowMs);
    const commands = this.#closeSilentLinks(nowMs);
    const { dials, options } = this.#context;
    for (
      const { address } of dials.listExpired(nowMs - options.dialTimeoutMs)
    ) {
      this.handleDialFailed(address, nowMs);
    }
    return commands;
  }

  /**
   * Handles a dial that ended with an authenticated link.
   *
   * @param opened - The address that was dialled and the host that answered.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  handleDialled(
    opened: { readonly address: string; readonly host: HostId },
    nowMs: number,
  ): void {
    const { address, host } = opened;
    const dial = this.#context.dials.getDial(address);
    if (dial?.host === undefined || dial.host === host) {
      this.#context.dials.removeDial(address);
      this.#context.dials.clearFailures(address);
      return;
    }
    // Another host than the expected one now listens on the address.
    this.handleDialFailed(address, nowMs);
  }

  /**
   * Handles a failed dial. A neighbour is suspected after several consecutive
   * failures.
   *
   * @param address - The address that was dialled.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  handleDialFailed(address: string, nowMs: number): void {
    const dial = this.#context.dials.removeDial(address);
    const count = this.#context.dials.addFailure(address, nowMs);
    const record = dial?.host === undefined
      ? undefined
      : this.#context.table.getRecord(dial.host);
    if (
      record?.status === "alive" && this.#isSuspicionDue(count) &&
      this.#context.links.getLinkTo(record.host) === undefined
    ) {
      this.#context.updates.applyChange(
        { ...record, status: "suspect" },
        nowMs,
      );
    }
  }

  /**
   * Returns whether the number of failures is a power of two, so that each further
   * suspicion takes twice as many: a permanent one-way fault would otherwise make
   * the status flap forever.
   */
  #isSuspicionDue(count: number): boolean {
    return count >= this.#context.options.dialsBeforeSuspicion &&
      (count & (count - 1)) === 0;
  }

  #decideFailures(nowMs: number): void {
    const beforeMs = nowMs - this.#context.options.suspicionTimeoutMs;
    for (const record of this.#context.table.listExpiredSuspects(beforeMs)) {
      this.#context.updates.applyChange({ ...record, status: "failed" }, nowMs);
    }
  }

  #closeSilentLinks(nowMs: number): readonly MembershipCommand[] {
    const commands: MembershipCommand[] = [];
    for (const { opened, lastReceivedMs } of this.#context.links.listLinks()) {
      if (nowMs - lastReceivedMs > this.#context.options.receiveTimeoutMs) {
        this.#context.links.removeLink(opened.link);
        commands.push({ kind: "close", link: opened.link });
      }
    }
    return commands;
  }

  /**
   * Extends the timeouts by the duration of a pause of this process: a timeout that
   * expired during the pause is no evidence of a failure elsewhere.
   */
  #handlePause(nowMs: number): void {
    const gapMs = nowMs - this.#lastAdvanceMs;
    this.#lastAdvanceMs = nowMs;
    if (gapMs <= this.#context.options.pauseThresholdMs) {
      return;
    }
    this.#context.table.advanceSuspicions(gapMs);
    this.#context.links.listLinks().forEach((link) =>
      link.lastReceivedMs += gapMs
    );
  }
}
