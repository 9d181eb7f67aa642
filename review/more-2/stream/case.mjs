// A client sends single requests for streams without the header that names its time. Judges the rule LOST: a request
// from a kept connection that is passed on to a sound server and whose connection is closed without an answer.
import { Agent } from "node:http";
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Endpoint } from "../../standins-2/endpoint.mjs";
import {
  Platform,
  SERVICE_HOST as host,
  sleep,
} from "../../standins-2/platform.mjs";

const HOSTS = [0, 1, 2];
const REQUESTS = 24;
/** The rule allows three. */
const MAX_LOST = 3;
const EVENTS = 18;
const INTERVAL_MS = 500;
const isTrouble = process.env.TROUBLE !== "0";

const platform = new Platform({
  hosts: HOSTS.length,
  configuration: {
    routes: [
      {
        name: "stream",
        host,
        pathPrefix: "/stream/",
        type: "streaming",
        timeoutMs: 4_000,
        sloMs: 500,
        priority: 1,
        service: "gen",
        maxAttempts: 2,
      },
      {
        name: "query",
        host,
        pathPrefix: "/query/",
        type: "idempotent",
        timeoutMs: 2_000,
        sloMs: 150,
        priority: 2,
        service: "app",
        maxAttempts: 2,
      },
    ],
    services: [
      {
        name: "app",
        healthPath: "/healthz",
        maxConns: 110,
        protocol: "h1",
        tls: false,
      },
      {
        name: "gen",
        healthPath: "/healthz",
        maxConns: 150,
        protocol: "h1",
        tls: false,
        engine: { slots: 8, kvCapacity: 102_120, models: [{ name: "m0" }] },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 33_554_432,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  },
});

async function runCase() {
  await platform.start();
  const engines = Array.from(
    { length: 2 },
    (_, number) =>
      new Endpoint(platform, {
        id: `i-gen${number}`,
        service: "gen",
        port: platform.base + 10 + number,
        models: ["m0"],
        events: EVENTS,
      }),
  );
  const servers = [
    new Endpoint(platform, {
      id: "i-app0",
      service: "app",
      port: platform.base + 20,
    }),
  ];
  const all = [...engines, ...servers];
  await Promise.all(all.map((each) => each.start()));
  platform.publishConfiguration();
  const publish = () => all.forEach((each) => each.publish());
  publish();
  const timer = setInterval(publish, 1_000);
  HOSTS.forEach((number) => platform.startHost(number));
  await platform.waitReady(HOSTS);
  // From here on all machines are in touch.
  await sleep(4_000);
  const agents = HOSTS.map(() => new Agent({ keepAlive: true, maxSockets: 1 }));
  const seen = { sent: 0, whole: 0, lost: 0, other: 0 };
  for (let number = 0; number < REQUESTS; number++) {
    const target = number % HOSTS.length;
    const agent = agents[target];
    const headers = { "X-Briarhill-Deadline-Ms": "2000" };
    // The connection is kept: it has carried a request before.
    const first = await platform.call(target, "POST", "/query/a", {
      headers: { ...headers, "X-Briarhill-Attempt-Id": `first-${number}` },
      body: "q",
      agent,
    });
    const attempt = `stream-${number}`;
    const { status, head, body, error } = await platform.call(
      target,
      "POST",
      "/stream/a",
      {
        headers: {
          ...(isTrouble ? {} : headers),
          "X-Briarhill-Attempt-Id": attempt,
        },
        body: "s",
        agent,
        timeoutMs: 6_000,
      },
    );
    const run = engines.flatMap(({ runs }) => runs).find((each) =>
      each.attempt === attempt
    );
    const isWhole = status === 200 &&
      String(body).split("\n\n").length === EVENTS + 1;
    seen.sent++;
    seen.whole += isWhole ? 1 : 0;
    seen.lost += status === 0 && run !== undefined ? 1 : 0;
    seen.other += !isWhole && !(status === 0 && run !== undefined) ? 1 : 0;
    platform.note(
      `host ${target}: request before ${first.status}; ${attempt}: ${
        isWhole
          ? "whole stream"
          : `head ${head ?? "none"}, ${body.length} bytes, then ${
            status === 0 ? "closed" : "ended"
          } ${error ?? ""}`
      }` +
        `${run === undefined ? "" : ", a server ran it"}`,
    );
    await sleep(INTERVAL_MS);
  }
  clearInterval(timer);
  await platform.stop();
  all.forEach((each) => each.close());
  platform.note(
    `streams ${seen.sent}, whole ${seen.whole}, passed on and closed without an answer ${seen.lost}, other ${seen.other}`,
  );
  return seen;
}

let code = 2;
try {
  const { lost, sent } = await runCase();
  code = lost > MAX_LOST ? 1 : sent > 0 ? 0 : 2;
} catch (error) {
  platform.note(`could not run: ${error.stack}`);
  await platform.stop().catch(() => undefined);
}
platform.writeRecord(dirname(fileURLToPath(import.meta.url)));
process.exit(code);
