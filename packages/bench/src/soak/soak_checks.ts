/**
 * Checks the promises of the platform by what clients and endpoints see.
 * @module
 */
import { MALFORMED_BODY } from "@briarhill/fakes/platform/response_endings";
import type {
  ReceivedAttempt,
  ReceivedOrder,
} from "@briarhill/fakes/platform/endpoint_stand_in_options";
import type { RequestCrash } from "@briarhill/fakes/platform/crash_switch";
import type { LateAttempt } from "@briarhill/fakes/platform/leaving_monitor";
import type { LimitOverrun } from "@briarhill/fakes/platform/limit_monitor";
import type { LotResult } from "@briarhill/fakes/platform/trainer_calls";

import { listUnserved } from "./host_cuts.ts";

/** A promise that was broken, with the ids that show it. */
export interface SoakBreach {
  readonly promise: string;
  readonly detail: string;
}

/** A live call that has ended at its client. */
export interface SoakCall {
  readonly id: string;
  /** 0 where the connection broke. */
  readonly status: number;
  readonly body: string;
  readonly signature: string;
}

/** A stream as its client holds it. */
export interface SoakStream {
  readonly id: string;
  readonly text: string;
  readonly isComplete: boolean;
}

/** The least time between orders of two holders to one engine, in milliseconds (a bound of the platform). */
const TURN_MS = 3_000;

/** A request may crash this number of endpoints before hosts have to know it, and as many later (a bound of the platform). */
const FREE_CRASHES = 3;
/** The time in which hosts have to know it, in milliseconds (a bound of the platform). */
const KNOWN_AFTER_MS = 3_000;

/** Checks promises while a soak runs; each breach is kept. */
export class SoakChecks {
  readonly #wholeTexts: readonly string[];
  readonly #known = new Map<string, readonly LotResult[]>();
  readonly #refused = new Set<string>();
  readonly breaches: SoakBreach[] = [];

  /**
   * @param wholeTexts - The texts that a sample or stream may have when it is whole.
   */
  constructor(wholeTexts: readonly string[]) {
    this.#wholeTexts = wholeTexts;
  }

  /**
   * Checks what a host has told of a lot from its first position on.
   *
   * @param lot - The lot.
   * @param results - The results.
   */
  checkResults(lot: string, results: readonly LotResult[]): void {
    const known = this.#known.get(lot) ?? [];
    results.slice(0, known.length).forEach((result, position) => {
      if (JSON.stringify(result) !== JSON.stringify(known[position])) {
        this.#add("a position never changes", `${lot} ${position}`);
      }
    });
    results.slice(known.length).forEach((result) => {
      this.#checkResult(lot, result);
    });
    const ids = results.map(({ id }) => id);
    if (new Set(ids).size < ids.length) {
      this.#add("a sample is listed once", lot);
    }
    if (results.length > known.length) {
      this.#known.set(lot, results);
    }
  }

  /**
   * Checks a live call that has ended.
   *
   * @param call - The call.
   */
  checkCall({ id, status, body, signature }: SoakCall): void {
    if (status === 200 && (body !== id || !signature.endsWith(`.${id}`))) {
      this.#add("an answer is whole and the caller's own", id);
    }
    if (body.includes(MALFORMED_BODY)) {
      this.#add("an answer is a server's", `${id}: status ${status}`);
    }
    if (status === 429 || status === 503) {
      this.#refused.add(id);
    }
  }

  /**
   * Checks a stream as its client holds it after its last try.
   *
   * @param stream - Its id, the text, and whether it has ended.
   */
  checkStream({ id, text, isComplete }: SoakStream): void {
    const isPart = this.#wholeTexts.some((whole) =>
      isComplete ? whole === text : `${whole}\n`.startsWith(`${text}\n`)
    );
    if (text !== "" && !isPart) {
      this.#add(
        "a stream holds the text of one software version",
        `${id}: ${text.split("\n").join(" ")}`,
      );
    }
  }

  /**
   * Checks what endpoints have run and been ordered.
   *
   * @param endpoints - What each endpoint has received.
   */
  checkEndpoints(
    endpoints: readonly {
      readonly runs: readonly ReceivedAttempt[];
      readonly orders: readonly ReceivedOrder[];
      readonly leaving: { readonly lateRuns: readonly LateAttempt[] };
      readonly limit: { readonly overruns: readonly LimitOverrun[] };
      readonly crash: { readonly crashes: readonly RequestCrash[] };
    }[],
  ): void {
    this.#checkCrashes(endpoints.flatMap(({ crash }) => crash.crashes));
    for (const { runs, orders, leaving, limit } of endpoints) {
      for (const { ratePerS, requests, allowed } of limit.overruns) {
        this.#add(
          "all hosts together keep the limit of an endpoint",
          `${requests} requests in 4 s at ${ratePerS}/s, allowed ${allowed}`,
        );
      }
      for (const { attemptId, connection, afterMs } of leaving.lateRuns) {
        this.#add(
          "an endpoint that says it is leaving gets no new work",
          `${attemptId} on ${connection} after ${afterMs} ms`,
        );
      }
      for (const { attemptId } of runs) {
        if (this.#refused.has(attemptId)) {
          this.#add("what was refused has not run", attemptId);
        }
      }
      orders.forEach((order, index) => {
        this.#checkOrder(order, orders[index - 1]);
      });
    }
  }

  /**
   * Checks what the callers of cut hosts got beside those of the others.
   *
   * @param seen - The cuts and the first tries.
   */
  checkCuts(seen: Parameters<typeof listUnserved>[0]): void {
    for (const detail of listUnserved(seen)) {
      this.#add("callers of hosts without links are served as others", detail);
    }
  }

  /**
   * Checks that everything that was acknowledged is there in the end.
   *
   * @param lots - The acknowledged lots and how many samples each one has.
   */
  checkWhole(lots: ReadonlyMap<string, number>): void {
    for (const [lot, samples] of lots) {
      const count = this.#known.get(lot)?.length ?? 0;
      if (count < samples) {
        this.#add(
          "an acknowledged lot is finished",
          `${lot} has ${count} of ${samples}`,
        );
      }
    }
  }

  #checkCrashes(crashes: readonly RequestCrash[]): void {
    for (const body of new Set(crashes.map((crash) => crash.body))) {
      const times = crashes.filter((crash) => crash.body === body)
        .map(({ atMs }) => atMs).toSorted((first, second) => first - second);
      const knownAtMs = (times[FREE_CRASHES - 1] ?? Infinity) + KNOWN_AFTER_MS;
      const late = times.filter((atMs) => atMs > knownAtMs);
      if (late.length > FREE_CRASHES) {
        this.#add(
          "a request that crashes endpoints reaches no more of them",
          `${body} crashed ${late.length} late, ${times.length} in all`,
        );
      }
    }
  }

  #checkResult(lot: string, { id, state, output, score }: LotResult): void {
    if (state !== "completed" || !this.#wholeTexts.includes(output)) {
      this.#add("a text is whole", `${lot} ${id} ${state} "${output}"`);
    }
    if (!score.endsWith(`.score-${id}`)) {
      this.#add("a score is the sample's own", `${lot} ${id} ${score}`);
    }
  }

  #checkOrder(order: ReceivedOrder, before: ReceivedOrder | undefined): void {
    if (before === undefined) {
      return;
    }
    const names = `${before.holder} and ${order.holder}`;
    if (order.fencingToken < before.fencingToken) {
      this.#add("an order's number never falls", names);
    }
    const isOther = order.holder !== before.holder;
    if (isOther && order.fencingToken === before.fencingToken) {
      this.#add("two holders have two numbers", names);
    }
    if (isOther && order.atMs - before.atMs < TURN_MS) {
      this.#add(
        "holders take turns slowly",
        `${names} within ${order.atMs - before.atMs} ms`,
      );
    }
  }

  #add(promise: string, detail: string): void {
    this.breaches.push({ promise, detail });
  }
}
