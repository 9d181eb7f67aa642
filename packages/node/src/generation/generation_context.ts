/**
 * Context that all generations of a host share.
 * @module
 */
import type { RequestClass } from "@briarhill/common/ids/ids";
import type { HedgePolicy } from "@briarhill/routing/retries/hedge_policy";
import type { RetryBudget } from "@briarhill/routing/retries/retry_budget";
import type { NodeContext } from "../node/node_context.ts";
import type { EnginePool } from "./engine_pool.ts";

/**
 * Returns the class by which engines schedule a request: training or live.
 *
 * @example
 * ```ts
 * const budget = context.budgets[toEngineClass(requestClass)];
 * ```
 * @param requestClass - The request's class.
 */
export function toEngineClass(requestClass: RequestClass): "live" | "rollout" {
  return requestClass === "rollout" ? "rollout" : "live";
}

/** Context that all generations of a host share. */
export interface GenerationContext {
  readonly node: NodeContext;
  readonly pool: EnginePool;
  /** Retry budgets of live calls and of training. */
  readonly budgets: {
    readonly live: RetryBudget;
    readonly rollout: RetryBudget;
  };
  readonly hedges: HedgePolicy;
  /** Returns the delay before the next read, during which chunks accumulate. */
  readonly getPaceMs: (requestClass: RequestClass) => number;
  /** Returns the monotonic time. */
  readonly getNowMs: () => number;
}
