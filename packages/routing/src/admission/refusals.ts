/**
 * Refusals of requests before they run.
 * @module
 */
import type { RequestId } from "@briarhill/common/ids/ids";
import type {
  AdmissionCommand,
  AdmissionRequest,
  RefusalReason,
} from "./admission_structure.ts";
import type { CustomerAccount } from "./customer_account.ts";
import type { Flow } from "./flow.ts";

const MIN_RETRY_AFTER_MS = 1000;

/**
 * Returns the flow that a request belongs to.
 *
 * @example
 * ```ts
 * const flow = getFlow(account, request);
 * ```
 * @param account - The account of the request's customer.
 * @param request - The request.
 */
export function getFlow(
  account: CustomerAccount,
  request: AdmissionRequest,
): Flow {
  return request.requestClass === "live" ? account.live : account.rollouts;
}

/**
 * Returns the refusal of a newly queued request if the queue is full or the
 * request can't finish before its deadline.
 *
 * @example
 * ```ts
 * const refusal = findRefusal(account, { request, nowMs });
 * ```
 * @param account - The account of the request's customer.
 * @param options - The request and the current time.
 */
export function findRefusal(
  account: CustomerAccount,
  options: { readonly request: AdmissionRequest; readonly nowMs: number },
): AdmissionCommand | undefined {
  const { request, nowMs } = options;
  const flow = getFlow(account, request);
  if (!flow.hasQueued(request.id)) {
    return undefined;
  }
  const { maxQueuedLive, maxQueuedRollouts } = account.limits;
  const isLive = request.requestClass === "live";
  const waitMs = flow.computeWaitMs();
  if (flow.queued > (isLive ? maxQueuedLive : maxQueuedRollouts)) {
    return buildRefusal(request.id, { reason: "queue-full", waitMs });
  }
  return nowMs + waitMs + request.runMs > request.deadlineMs
    ? buildRefusal(request.id, { reason: "deadline", waitMs })
    : undefined;
}

/**
 * Builds a refusal, which asks for a retry after at least 1 s.
 *
 * @example
 * ```ts
 * const refusal = buildRefusal(id, { reason: "queue-full", waitMs: 800 });
 * ```
 * @param id - The request.
 * @param options - The reason and the estimated wait.
 */
export function buildRefusal(
  id: RequestId,
  options: { readonly reason: RefusalReason; readonly waitMs?: number },
): AdmissionCommand {
  const { reason, waitMs = 0 } = options;
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
  return { kind: "refuse", id, reason, retryAfterMs };
}
