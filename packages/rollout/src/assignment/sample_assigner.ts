/**
 * Assigns sample attempts to members, on the host that owns the lots. Attempt
 * numbers are never reused.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import type {
  AssignableMember,
  AttemptOutcome,
  ExchangeReply,
  ExchangeRequest,
} from "./exchange.ts";
import { MemberAssignments } from "./member_assignments.ts";
import { MemberPicker } from "./member_picker.ts";

const SILENCE_TIMEOUT_MS = 10_000;
const SUSPENSION_MS = 10_000;

/** An attempt to be assigned. */
export interface AssignmentRequest<Work> {
  readonly work: Work;
  /**
   * Attempts with one key share a prompt and are assigned to one member while
   * its load allows.
   */
  readonly affinity: string;
  readonly nowMs: number;
}

/**
 * Assigns attempts to members. A number identifies one attempt at one member
 * and is never reused, so that a late report on a withdrawn attempt is
 * recognized by its number and ignored.
 */
export class SampleAssigner<Work, End> {
  readonly #measureChars: (work: Work) => number;
  readonly #members = new Map<HostId, MemberAssignments<Work, End>>();
  readonly #hostByNumber = new Map<number, HostId>();
  readonly #picker = new MemberPicker();
  #nextNumber = 0;
  /** Shared by all members, as a member may be removed and rejoin. */
  #sequence = 0;

  /** Creates an assigner; `measureChars` returns the characters in a work. */
  constructor(measureChars: (work: Work) => number) {
    this.#measureChars = measureChars;
  }

  /**
   * Sets the hosts that may be assigned attempts. Attempts of a process that is
   * no longer among them are withdrawn.
   *
   * @param members - The members that are not considered failed.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  setMembers(
    members: readonly AssignableMember[],
    nowMs: number,
  ): readonly AttemptOutcome<End>[] {
    const byHost = new Map(members.map((member) => [member.host, member]));
    const outcomes: AttemptOutcome<End>[] = [];
    for (const [host, member] of this.#members) {
      if (byHost.get(host)?.incarnation !== member.incarnation) {
        outcomes.push(...this.#drainAttempts(member));
        this.#members.delete(host);
      }
    }
    for (const member of members) {
      const known = this.#members.get(member.host) ??
        new MemberAssignments<Work, End>(member, nowMs);
      known.isUsable = member.isUsable;
      this.#members.set(member.host, known);
    }
    return outcomes;
  }

  /**
   * Returns whether any member may be assigned an attempt now.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  canAssign(nowMs: number): boolean {
    return this.#listUsable(nowMs).length > 0;
  }

  /**
   * Assigns an attempt and returns its number, or undefined if no member may be
   * assigned one now.
   *
   * @param request - The attempt to assign.
   */
  assignAttempt(request: AssignmentRequest<Work>): number | undefined {
    const member = this.#picker.pickMember(
      request.affinity,
      this.#listUsable(request.nowMs),
    );
    if (member === undefined) {
      return undefined;
    }
    const number = this.#nextNumber++;
    member.addAttempt({ number, work: request.work }, request.nowMs);
    this.#hostByNumber.set(number, member.host);
    return number;
  }

  /**
   * Asks the member that executes an attempt to cancel it.
   *
   * @param number - The attempt's number.
   */
  cancelAttempt(number: number): void {
    this.#getMember(this.#hostByNumber.get(number))?.cancelAttempt(number);
  }

  /**
   * Suspends the assignment of new attempts to a member.
   *
   * @param host - The member's host.
   * @param untilMs - The monotonic time at which assignment resumes.
   */
  suspendMember(host: HostId, untilMs: number): void {
    const member = this.#getMember(host);
    if (member !== undefined) {
      member.suspendedUntilMs = Math.max(member.suspendedUntilMs, untilMs);
    }
  }

  /**
   * Lists the hosts of the members that a request should be sent to now.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  listDue(nowMs: number): readonly HostId[] {
    return [...this.#members.values()]
      .filter((member) => member.isDue(nowMs))
      .map(({ host }) => host);
  }

  /**
   * Takes the next request for a member.
   *
   * @param host - The member's host.
   */
  takeRequest(host: HostId): ExchangeRequest<Work> | undefined {
    return this.#getMember(host)
      ?.takeRequest(++this.#sequence, this.#measureChars);
  }

  /** Returns whether a member has open attempts. */
  hasAttempts(host: HostId): boolean {
    return this.#getMember(host)?.hasAttempts() ?? false;
  }

  /**
   * Handles a member's reply.
   *
   * @param host - The member's host.
   * @param request - The request that the reply belongs to.
   * @param answer - The reply and the monotonic time.
   */
  handleReply(
    host: HostId,
    request: Pick<ExchangeRequest<Work>, "sequence" | "incarnation">,
    answer: { readonly reply: ExchangeReply<End>; readonly nowMs: number },
  ): readonly AttemptOutcome<End>[] {
    const member = this.#getMember(host);
    const { reply, nowMs } = answer;
    if (member === undefined || member.incarnation !== request.incarnation) {
      return [];
    }
    if (reply.incarnation !== member.incarnation) {
      // Another process replied: the one that executed the attempts is gone.
      member.handleFailure(request.sequence, nowMs);
      this.suspendMember(host, nowMs + SUSPENSION_MS);
      return this.#drainAttempts(member);
    }
    const outcomes = member.handleReply(request.sequence, reply, nowMs);
    outcomes.filter(({ kind }) => kind !== "generated")
      .forEach(({ number }) => this.#hostByNumber.delete(number));
    return outcomes;
  }

  /**
   * Handles a request that may not have arrived.
   *
   * @param host - The member's host.
   * @param request - The request that failed.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  handleFailure(
    host: HostId,
    request: Pick<ExchangeRequest<Work>, "sequence" | "incarnation">,
    nowMs: number,
  ): void {
    const member = this.#getMember(host);
    if (member?.incarnation === request.incarnation) {
      member.handleFailure(request.sequence, nowMs);
    }
  }

  /**
   * Withdraws the attempts of members that have not replied within the timeout.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly AttemptOutcome<End>[] {
    return [...this.#members.values()]
      .filter((member) => member.getSilenceMs(nowMs) >= SILENCE_TIMEOUT_MS)
      .flatMap((member) => {
        this.suspendMember(member.host, nowMs + SUSPENSION_MS);
        return this.#drainAttempts(member);
      });
  }

  /** Returns the number of active attempts of each member that has any. */
  listLoads(): ReadonlyMap<HostId, number> {
    const loads = [...this.#members.values()]
      .map((member) => [member.host, member.countLoad()] as const);
    return new Map(loads.filter(([, load]) => load > 0));
  }

  #drainAttempts(
    member: MemberAssignments<Work, End>,
  ): readonly AttemptOutcome<End>[] {
    const outcomes = member.drainAttempts();
    outcomes.forEach(({ number }) => this.#hostByNumber.delete(number));
    return outcomes;
  }

  #listUsable(nowMs: number): readonly MemberAssignments<Work, End>[] {
    return [...this.#members.values()].filter((member) =>
      member.isUsable && nowMs >= member.suspendedUntilMs
    );
  }

  #getMember(
    host: HostId | undefined,
  ): MemberAssignments<Work, End> | undefined {
    return host === undefined ? undefined : this.#members.get(host);
  }
}
