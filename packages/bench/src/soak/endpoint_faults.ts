/**
 * Faults of a soak that end endpoints.
 * @module
 */
import {
  FIRST_SOFTWARE_VERSION,
  SECOND_SOFTWARE_VERSION,
} from "@briarhill/fakes/platform/event_text";
import type { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import { ATTEMPT_ID, DEADLINE_MS } from "@briarhill/platform/names/headers";
import { setTimeout as sleep } from "node:timers/promises";

/** The limits that endpoints state, in requests a second. */
const LIMITS = ["1", "3.5", "0", "12", "0.4", "-2", "soon"];
/** How long an endpoint states one limit at least, in milliseconds; above the time in which hosts may still exceed it. */
const LIMITED_MS = 4_000;

/** A part of a response without end, and the pause after it, in milliseconds. */
const ENDLESS = { format: () => "x".repeat(60_000), pauseMs: 20 };
const RESPONSE_ENDINGS = {
  "responses-unframed": "unframed",
  "responses-reset": "reset",
  "responses-endless": "unframed",
  "responses-malformed": "malformed",
} as const;

/** A fault of the bytes that an endpoint sends. */
export type ResponseFaultKind = keyof typeof RESPONSE_ENDINGS;

/** The body of requests that crash endpoints begins with this text. */
const CRASH_TEXT = "poison";
/** How long such a request comes again at least, in milliseconds; above the time in which hosts have to know it. */
const CRASHING_MS = 5_000;
const CRASH_DEADLINE_MS = 1_000;
const CRASH_RETURN_MS = 150;

/**
 * Sends a request that crashes the endpoints that run it, again and again, to each
 * host in turn.
 *
 * @example
 * ```ts
 * declare const platform: PlatformStandIn;
 *
 * await sendCrashingRequest(platform, { hosts: 3, forMs: 500, target: 1 });
 * ```
 * @param platform - The platform.
 * @param fault - The number of hosts, the duration and a number that differs for each fault.
 */
export async function sendCrashingRequest(
  platform: PlatformStandIn,
  fault: {
    readonly hosts: number;
    readonly forMs: number;
    readonly target: number;
  },
): Promise<void> {
  const { hosts, forMs, target } = fault;
  const text = `${CRASH_TEXT}-${target}`;
  platform.services.forEach(({ crash }) => crash.text = CRASH_TEXT);
  const endMs = Date.now() + CRASHING_MS + forMs;
  for (let count = 0; Date.now() < endMs; count++) {
    const headers = {
      [ATTEMPT_ID]: `${text}-${count}`,
      [DEADLINE_MS]: String(CRASH_DEADLINE_MS),
    };
    await platform.call(count % hosts, "POST", "/app/q", {
      headers,
      body: text,
      timeoutMs: 2 * CRASH_DEADLINE_MS,
    }).catch(() => undefined);
    await sleep(CRASH_RETURN_MS);
  }
}

/**
 * Ends an engine, and starts it again with the other software version.
 *
 * @example
 * ```ts
 * declare const platform: PlatformStandIn;
 *
 * await releaseSoftware(platform, 1);
 * ```
 * @param platform - The platform.
 * @param target - Selects the engine.
 */
export async function releaseSoftware(
  platform: PlatformStandIn,
  target: number,
): Promise<void> {
  const { engines } = platform;
  const engine = engines[target % engines.length];
  if (engine === undefined || engine.crash.isDown) {
    return;
  }
  const restarted = engine.crash.killEndpoint(engine);
  engine.softwareVersion = engine.softwareVersion === FIRST_SOFTWARE_VERSION
    ? SECOND_SOFTWARE_VERSION
    : FIRST_SOFTWARE_VERSION;
  await restarted;
  platform.publishEntry(engine);
}

/**
 * Lets an endpoint state a limit, which changes once and may be no rate.
 *
 * @example
 * ```ts
 * declare const platform: PlatformStandIn;
 *
 * await runLimit(platform, { forMs: 500, target: 1 });
 * ```
 * @param platform - The platform.
 * @param fault - The duration, and a number that selects the endpoint and the limits.
 */
export async function runLimit(
  platform: PlatformStandIn,
  { forMs, target }: { readonly forMs: number; readonly target: number },
): Promise<void> {
  const { endpoints } = platform;
  const { limit } = endpoints[target % endpoints.length] ?? {};
  limit?.setLimit(LIMITS[target % LIMITS.length] ?? "1");
  await sleep(LIMITED_MS + forMs);
  limit?.setLimit(LIMITS[(target + forMs) % LIMITS.length] ?? "1");
  await sleep(LIMITED_MS + forMs);
  limit?.clearLimit();
}

/**
 * Returns whether a fault is one of the bytes that an endpoint sends.
 *
 * @example
 * ```ts
 * const isResponse = isResponseFault("responses-reset");
 * ```
 * @param kind - The kind of the fault.
 */
export function isResponseFault(kind: string): kind is ResponseFaultKind {
  return kind in RESPONSE_ENDINGS;
}

/**
 * Lets an endpoint end its responses without a length, reset them half way, send
 * them without end or send what is no HTTP response.
 *
 * @example
 * ```ts
 * declare const platform: PlatformStandIn;
 *
 * const kind = "responses-reset";
 * await runResponseFault(platform, { kind, forMs: 500, target: 1 });
 * ```
 * @param platform - The platform.
 * @param fault - Its kind, its duration and a number that selects the endpoint.
 */
export async function runResponseFault(
  platform: PlatformStandIn,
  { kind, forMs, target }: {
    readonly kind: ResponseFaultKind;
    readonly forMs: number;
    readonly target: number;
  },
): Promise<void> {
  // The client of the soak does not read events without end.
  const isEndless = kind === "responses-endless";
  const endpoints = isEndless ? platform.services : platform.endpoints;
  const endpoint = endpoints[target % endpoints.length];
  if (endpoint === undefined) {
    return;
  }
  endpoint.endings.ending = RESPONSE_ENDINGS[kind];
  endpoint.endless = isEndless ? ENDLESS : undefined;
  await sleep(forMs);
  endpoint.endings.ending = "framed";
  endpoint.endless = undefined;
}
