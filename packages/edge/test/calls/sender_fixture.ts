import { ResponseMemory } from "@briarhill/common/http/response_memory";
import { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { SystemClock } from "@briarhill/common/time/system_clock";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import { Buffer } from "node:buffer";
import type { EndpointRequest } from "../../src/calls/endpoint_request.ts";
import { EndpointSender } from "../../src/calls/endpoint_sender.ts";
import { EndpointDirectory } from "../../src/endpoints/endpoint_directory.ts";
import { ObservedLimits } from "../../src/limits/observed_limits.ts";
import { HostMetrics } from "../../src/observe/host_metrics.ts";
import { ReachMonitor } from "../../src/reach/reach_monitor.ts";
import { type ConnectionScript, RawEndpoint } from "./raw_endpoint.ts";

export const MAX_ANSWER_BYTES = 1_048_576;
/** The limit of all responses together, in bytes. */
export const MAX_RESPONSE_BYTES = 8_388_608;
export const TIMEOUT_MS = 600;
/** Tolerance for late timers and the closing of a connection on a busy machine. */
export const SLACK_MS = 1_500;
/** The head of a valid response, without the empty line that ends it. */
export const HEAD = "HTTP/1.1 200 OK\r\nX-Briarhill-Attempt-Id: a\r\n" +
  "X-Briarhill-Server-Signature: s\r\n";

export function createSender() {
  const clock = new SystemClock();
  const directory = new EndpointDirectory({
    clock,
    logger: Logger.create({}),
    random: new SeededRandom(1),
    getLastFailureAtMs: () => -Infinity,
    onRemoved: () => undefined,
  });
  const limits = new ObservedLimits({
    clock,
    logger: Logger.create({}),
    metrics: new HostMetrics(),
    onChange: () => undefined,
  });
  const reach = new ReachMonitor({
    clock,
    logger: Logger.create({}),
    metrics: new HostMetrics(),
    random: new SeededRandom(1),
    directory,
    isCurrent: () => true,
    fetchReach: (_, hosts) => Promise.resolve(hosts),
    local: { host: "127.0.0.2", failureDomain: "a" },
    getHealthPath: () => "/",
    onChange: () => undefined,
  });
  const endpointResponses = new ResponseMemory({
    limitBytes: MAX_RESPONSE_BYTES,
  });
  const sender = new EndpointSender({
    endpointResponses,
    clock,
    directory,
    limits,
    reach,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  return { clock, directory, limits, reach, endpointResponses, sender };
}

export function createEndpoint(port: number): EndpointStructure {
  return {
    id: "e",
    service: "s",
    address: { hostname: "127.0.0.1", port },
    failureDomain: "a",
    slots: 4,
    isLeaving: false,
    coldMs: 0,
    softwareVersion: "v1",
    startedAtMs: 100,
    models: new Map(),
    beat: 1,
  };
}

export function createRequest(endpoint: EndpointStructure): EndpointRequest {
  return {
    endpoint,
    purpose: "call",
    attemptId: "a",
    method: "POST",
    path: "/",
    headers: ["Host", "a.example"],
    body: Buffer.from("{}"),
    timeoutMs: TIMEOUT_MS,
    signal: new AbortController().signal,
  };
}

/** The delay of a copy of a response, in milliseconds. */
export const DUPLICATE_DELAY_MS = 30;
export const REFUSED = HEAD.replace("200 OK", "503 Full") +
  "X-Briarhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

export function createRawResponse(attemptId: string, body: string): string {
  return HEAD.replace("-Id: a", `-Id: ${attemptId}`) +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Sends two requests one after the other and returns the outcome of each. */
export async function sendTwice(
  script: ConnectionScript,
  options: { readonly second: string; readonly pauseMs: number },
): Promise<readonly string[]> {
  const server = new RawEndpoint(script);
  const endpoint = createEndpoint(await server.start());
  const { sender } = createSender();
  const outcomes: string[] = [];
  for (const attemptId of ["a", options.second]) {
    const request = { ...createRequest(endpoint), attemptId };
    outcomes.push(
      await sender.send(request).then(
        ({ httpAnswer }) => `${httpAnswer.status} ${httpAnswer.body}`,
        (error) => `${error.fault} ${error.outcome}`,
      ),
    );
    await new Promise((resolve) => setTimeout(resolve, options.pauseMs));
  }
  sender.close();
  server.close();
  return outcomes;
}
