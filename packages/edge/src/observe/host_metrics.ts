/**
 * Collects the counters and latency histograms of a host.
 * @module
 */
import { CounterRegistry } from "@briarhill/common/metrics/counter_registry";
import { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import { formatMetrics } from "@briarhill/common/metrics/metrics_format";

/**
 * The counters and latency histograms of a host; the customer label holds the
 * name of the route or model.
 */
export class HostMetrics {
  readonly #counters = new CounterRegistry();
  readonly #histograms = new HistogramRegistry();

  /**
   * Records a call that has received its final response.
   *
   * @param route - The name of the route.
   * @param outcome - The outcome of the call, such as "answered".
   * @param durationMs - The time from arrival to response, in milliseconds.
   */
  addCall(route: string, outcome: string, durationMs: number): void {
    this.#counters.addOne("calls_total", outcome);
    const key = { customer: route, requestClass: "service" as const };
    this.#histograms.addValue({ metric: "call_whole_ms", ...key }, durationMs);
  }

  /**
   * Records the submission of a lot.
   *
   * @param route - The name of the route.
   * @param outcome - The outcome of the submission, such as "appended".
   * @param durationMs - The time from arrival to response, in milliseconds.
   */
  addLotSubmission(route: string, outcome: string, durationMs: number): void {
    this.#counters.addOne("lots_total", outcome);
    const key = { customer: route, requestClass: "rollout" as const };
    this.#histograms.addValue(
      { metric: "rollout_hand_in_ms", ...key },
      durationMs,
    );
  }

  /**
   * Records an attempt of a sample.
   *
   * @param model - The name of the model.
   * @param outcome - The outcome of the attempt, such as "finished".
   * @param durationMs - The duration of the attempt, in milliseconds.
   */
  addAttempt(model: string, outcome: string, durationMs: number): void {
    this.#counters.addOne("sample_runs_total", outcome);
    const key = { customer: model, requestClass: "rollout" as const };
    this.#histograms.addValue({ metric: "rollout_run_ms", ...key }, durationMs);
  }

  /**
   * Counts a move of a running sample to another engine.
   *
   * @param reason - Why it moves, such as "slow".
   */
  addMove(reason: string): void {
    this.#counters.addOne("sample_moves_total", reason);
  }

  /**
   * Counts an order to an engine.
   *
   * @param reply - The reply of the engine.
   */
  addOrder(reply: string): void {
    this.#counters.addOne("orders_total", reply);
  }

  /**
   * Counts a pick of an endpoint.
   *
   * @param reason - Why it was picked, such as "near-best".
   */
  addPick(reason: string): void {
    this.#counters.addOne("endpoint_picks_total", reason);
  }

  /**
   * Counts a call to the platform's API.
   *
   * @param duty - The name of the duty.
   * @param result - What became of the call, such as "accepted".
   */
  addDutyCall(duty: string, result: string): void {
    this.#counters.addOne("duty_calls_total", `${duty}:${result}`);
  }

  /**
   * Counts an event of the usage reports.
   *
   * @param event - "window-in-time", "window-late" or "late-count".
   */
  addUsageEvent(event: string): void {
    this.#counters.addOne("usage_events_total", event);
  }

  /**
   * Counts a request to an endpoint that has a limit.
   *
   * @param purpose - What the request is for, such as "scoring".
   */
  addLimitedRequest(purpose: string): void {
    this.#counters.addOne("limited_requests_total", purpose);
  }

  /**
   * Counts a request that was refused for its key.
   *
   * @param kind - "rejected", or "unavailable" if this host can't tell.
   */
  addRefusedKey(kind: string): void {
    this.#counters.addOne("refused_keys_total", kind);
  }

  /**
   * Counts a change of an endpoint's limit.
   *
   * @param change - "set" or "ended".
   */
  addLimitChange(change: string): void {
    this.#counters.addOne("limit_changes_total", change);
  }

  /**
   * Counts a decision on a request for a permit, at the host that decides.
   *
   * @param kind - "granted" or "rejected".
   */
  addPermit(kind: string): void {
    this.#counters.addOne("permits_total", kind);
  }

  /**
   * Counts an attempt of a live call whose connection was lost.
   *
   * @param listener - Whether the endpoint still accepts connections.
   */
  addLostAttempt(listener: string): void {
    this.#counters.addOne("lost_attempts_total", listener);
  }

  /**
   * Counts a decision on a live call that endpoints have ended under.
   *
   * @param kind - "trial" or "rejected".
   */
  addCrashDecision(kind: string): void {
    this.#counters.addOne("crash_decisions_total", kind);
  }

  /**
   * Counts a service that this host has lost or regained.
   *
   * @param change - "lost" or "regained".
   */
  addReachChange(change: string): void {
    this.#counters.addOne("reach_changes_total", change);
  }

  /**
   * Counts a call that another host handles for this one.
   *
   * @param outcome - How it ended there.
   */
  addRelayedCall(outcome: string): void {
    this.#counters.addOne("relayed_calls_total", outcome);
  }

  /**
   * Counts a decision where a stream that a client takes up goes on, or the rejection of a stream.
   *
   * @param outcome - "goes-on", or the reason of the rejection.
   */
  addStreamPlacement(outcome: string): void {
    this.#counters.addOne("stream_placements_total", outcome);
  }

  /**
   * Counts a response that gave way to others, as the host had no room for all of them.
   *
   * @param kind - "endpoint" or "internal".
   */
  addDroppedResponse(kind: string): void {
    this.#counters.addOne("responses_dropped_total", kind);
  }

  /** Returns all metrics in the Prometheus text format. */
  formatAll(): string {
    return this.#counters.formatCounters() +
      formatMetrics(this.#histograms.getSummaries());
  }
}
