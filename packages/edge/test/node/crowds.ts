import type { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import { setTimeout as sleep } from "node:timers/promises";
import type { Crowd } from "./crowd.ts";
import { ECHO, PROBE, READ, RESULTS, SCRAPE, STREAM } from "./crowd_texts.ts";
import { createLargeLot } from "./large_lot.ts";

/** The time for which endpoints send without end, in milliseconds. */
const ENDLESS_MS = 5_000;
const ENDLESS_PIECE = "x".repeat(60_000);

/** Lists what crowds send to the first host of a platform. */
export function listCrowds(
  platform: PlatformStandIn,
): readonly (readonly [string, (crowd: Crowd) => Promise<unknown>])[] {
  const hostname = platform.getIp(0);
  const callers = { hostname, port: platform.getAddress(0).port };
  const [health, peers, metrics] = [1, 2, 3].map((offset) => ({
    hostname,
    port: callers.port + offset,
  })) as [typeof callers, typeof callers, typeof callers];

  function delayServices(): void {
    platform.services.forEach((service) => service.delayMs = 1_500);
  }

  const path = "/app/a";
  function sendToLots(crowd: Crowd): Promise<unknown> {
    const lot = createLargeLot("large");
    return Promise.all([
      ...[0, 1, 2, 3].map((number) =>
        platform.call(0, "POST", `/rollout/large-${number}`, {
          headers: { "X-Briarhill-Attempt-Id": `large-${number}` },
          body: lot,
          timeoutMs: 6_000,
        }).catch(() => undefined)
      ),
      crowd.sendAhead({
        ...callers,
        count: 20,
        text: RESULTS,
        times: 500,
      }),
    ]);
  }

  function sendToOtherPorts(crowd: Crowd): Promise<unknown> {
    const headers = "Briarhill-Relay: 1000\r\n";
    const bodies = { path, headers, bytes: 4_000_000, missingBytes: 1 };
    return Promise.all([
      crowd.sendBodies({ ...peers, count: 30, ...bodies }),
      ...[health, peers, metrics].map((address) =>
        crowd.sendAndLeave({ ...address, count: 300 })
      ),
      crowd.sendAhead({
        ...health,
        count: 10,
        text: PROBE,
        times: 5_000,
      }),
      crowd.sendAhead({
        ...metrics,
        count: 10,
        text: SCRAPE,
        times: 1_000,
      }),
    ]);
  }

  /** Endpoints answer calls, scores and samples without end for some seconds. */
  async function sendToFaultyEndpoints(crowd: Crowd): Promise<void> {
    platform.services.forEach((service) =>
      service.endless = { format: () => ENDLESS_PIECE, pauseMs: 20 }
    );
    platform.engines.forEach((engine) =>
      engine.endless = {
        format: (id) => `id: ${id}\ndata: ${ENDLESS_PIECE}\n\n`,
        pauseMs: 20,
      }
    );
    await Promise.all([
      crowd.sendAhead({ ...callers, count: 120, text: READ, times: 1 }),
      platform.sendLot(0, "endless", 120),
    ]);
    await sleep(ENDLESS_MS);
    [...platform.services, ...platform.engines].forEach((endpoint) =>
      endpoint.endless = undefined
    );
  }

  return [
    ["responses of endpoints without end", sendToFaultyEndpoints],
    ["many whole bodies", (crowd) => {
      delayServices();
      return crowd.sendBodies({ ...callers, count: 12, path });
    }],
    [
      "many bodies that stop short of their end",
      (crowd) =>
        Promise.all([false, true].map((isChunked) =>
          crowd.sendBodies({
            ...callers,
            count: 8,
            path,
            missingBytes: 1,
            isChunked,
          })
        )),
    ],
    ["many requests ahead of their answers", (crowd) => {
      delayServices();
      return crowd.sendAhead({
        ...callers,
        count: 20,
        text: READ,
        times: 5_000,
      });
    }],
    [
      "many connections of which a part leaves early",
      (crowd) => crowd.sendAndLeave({ ...callers, count: 1_500 }),
    ],
    [
      "heads without an end",
      (crowd) =>
        crowd.sendEndlessHeads({ ...callers, count: 700, headBytes: 15_000 }),
    ],
    ["unread answers of streams and plain calls", (crowd) => {
      platform.engines.forEach((engine) => engine.eventBytes = 400_000);
      return Promise.all([
        crowd.sendAhead({
          ...callers,
          count: 60,
          text: STREAM,
          times: 2,
        }),
        crowd.sendAhead({ ...callers, count: 30, text: ECHO, times: 4 }),
      ]);
    }],
    ["large lots and reads of results that wait", sendToLots],
    ["the ports of health, hosts and metrics", sendToOtherPorts],
    ["all of them together", (crowd) => {
      delayServices();
      return Promise.all([
        crowd.sendBodies({ ...callers, count: 4, path }),
        crowd.sendBodies({ ...callers, count: 4, path, missingBytes: 1 }),
        crowd.sendAhead({
          ...callers,
          count: 10,
          text: READ,
          times: 5_000,
        }),
        crowd.sendAndLeave({ ...callers, count: 900 }),
        crowd.sendEndlessHeads({ ...callers, count: 100, headBytes: 15_000 }),
        crowd.sendAhead({ ...callers, count: 10, text: ECHO, times: 4 }),
        sendToLots(crowd),
        sendToOtherPorts(crowd),
      ]);
    }],
  ];
}
