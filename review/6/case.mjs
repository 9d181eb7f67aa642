// Servers break off some answers that have no length, and reset their connections. Judges the rule MIXED: a success
// whose body isn't the server's whole body, and a sample that is completed with a part of its text.
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Endpoint } from "../standins-2/endpoint.mjs";
import {
  Platform,
  SERVICE_HOST as host,
  sleep,
} from "../standins-2/platform.mjs";

const HOSTS = [0, 1, 2];
const SERVERS = 4;
/** The share of servers that spoil answers, and the share of their answers that they spoil: those of the pages. */
const SERVER_SHARE = 0.5;
const ANSWER_SHARE = 0.03;
const REQUESTS_PER_S = 40;
const LOAD_MS = 45_000;
const BODY_BYTES = 800;
const ENGINES = 4;
const EVENTS = 18;
const LOT_INTERVAL_MS = 4_000;
const LOT_ITEMS = 32;
const isTrouble = process.env.TROUBLE !== "0";

const platform = new Platform({
  hosts: HOSTS.length,
  configuration: {
    routes: [{
      name: "query",
      host,
      pathPrefix: "/query/",
      type: "idempotent",
      timeoutMs: 2_000,
      sloMs: 150,
      priority: 2,
      service: "app",
      maxAttempts: 2,
    }, {
      name: "rollout",
      host,
      pathPrefix: "/rollout/",
      type: "rollout",
      timeoutMs: 10_000,
      sloMs: 500,
      dueMs: 7_500,
      priority: 0,
      service: "gen",
      maxAttempts: 3,
      retentionS: 40,
      sticky: true,
    }],
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
/** The whole body of the answer to each request that a server has run. */
const bodies = new Map();
let spoiled = 0;

class AppServer extends Endpoint {
  async run(_request, response, { attempt }) {
    const { id, workMs, isFaulty } = this.options;
    const body = `${attempt} at ${id} `.padEnd(BODY_BYTES, "x");
    bodies.set(attempt, [...bodies.get(attempt) ?? [], body]);
    await sleep(workMs);
    const { socket } = response;
    if (socket === null || socket.destroyed) {
      return;
    }
    const head = [
      "HTTP/1.1 200 OK",
      `X-Briarhill-Attempt-Id: ${attempt}`,
      `X-Briarhill-Server-Signature: ${id}.${attempt}`,
      "Content-Type: text/plain",
      "Connection: close",
    ].join("\r\n");
    if (isTrouble && isFaulty && Math.random() < ANSWER_SHARE) {
      spoiled++;
      platform.note(
        `${id} breaks off its answer to ${attempt}: half of the body, then a reset`,
      );
      socket.write(
        `${head}\r\n\r\n${body.slice(0, BODY_BYTES / 2)}`,
        () => socket.resetAndDestroy(),
      );
      return;
    }
    // A sound answer without a length ends with its connection.
    socket.end(`${head}\r\n\r\n${body}`);
  }
}

class EngineServer extends Endpoint {
  async run(request, response, { attempt }) {
    const { id, eventMs, isFaulty } = this.options;
    const { socket } = response;
    socket.write([
      "HTTP/1.1 200 OK",
      `X-Briarhill-Attempt-Id: ${attempt}`,
      `X-Briarhill-Server-Signature: ${id}.${attempt}`,
      "X-Briarhill-Weight-Versions: 1",
      "Content-Type: text/event-stream",
      "Connection: close\r\n\r\n",
    ].join("\r\n"));
    const breakAt = isTrouble && isFaulty && Math.random() < ANSWER_SHARE
      ? EVENTS / 2
      : Infinity;
    const last = request.headers["last-event-id"];
    for (
      let event = last === undefined ? 0 : Number(last) + 1;
      event < EVENTS && !socket.destroyed;
      event++
    ) {
      await sleep(eventMs);
      if (event === breakAt) {
        spoiled++;
        platform.note(
          `${id} breaks off the stream of ${attempt} after event ${event}: a reset`,
        );
        socket.write(
          `id: ${event}\ndata: ${attempt}.${event}\n\n`,
          () => socket.resetAndDestroy(),
        );
        return;
      }
      socket.write(`id: ${event}\ndata: ${attempt}.${event}\n\n`);
    }
    socket.end();
  }
}

async function runLots(endMs, seen) {
  const lots = [];
  for (let step = 0; Date.now() < endMs; step++) {
    const id = `lot-${step}`;
    const items = Array.from({ length: LOT_ITEMS }, (_, number) => ({
      id: `${id}-${number}`,
      path: `/rollout/${number}`,
      headers: { "X-Briarhill-Model": "m0" },
      body: "",
      tokens: 100,
      group: `g${number >> 2}`,
    }));
    const { status } = await platform.call(
      step % HOSTS.length,
      "POST",
      `/rollout/${id}`,
      {
        headers: {
          "X-Briarhill-Attempt-Id": id,
          "X-Briarhill-Deadline-Ms": "4000",
        },
        body: JSON.stringify({
          step,
          model: "m0",
          minVersion: 1,
          batchSize: 8,
          items,
        }),
      },
    );
    if (status === 202) {
      lots.push(id);
    }
    await sleep(LOT_INTERVAL_MS);
  }
  await sleep(3_000);
  for (const id of lots) {
    const { status, body } = await platform.call(
      0,
      "GET",
      `/briarhill/lots/${id}?after=0`,
    );
    for (const result of status === 200 ? JSON.parse(body).results : []) {
      checkResult(result, seen);
    }
  }
}

function checkResult({ id, state, output }, seen) {
  const whole = Array.from({ length: EVENTS }, (_, event) => `${id}.${event}`)
    .join("\n");
  if (state === "completed" && output === whole) {
    seen.samples++;
  } else if (state === "completed") {
    seen.cutSamples++;
    platform.note(
      `MIXED: sample ${id} is completed with ${
        output.split("\n").length
      } of ${EVENTS} events`,
    );
  }
}

async function runCase() {
  await platform.start();
  const engines = Array.from(
    { length: ENGINES },
    (_, number) =>
      new EngineServer(platform, {
        id: `i-gen${number}`,
        service: "gen",
        port: platform.base + 20 + number,
        models: ["m0"],
        isFaulty: number < ENGINES * SERVER_SHARE,
      }),
  );
  const servers = Array.from(
    { length: SERVERS },
    (_, number) =>
      new AppServer(platform, {
        id: `i-app${number}`,
        service: "app",
        port: platform.base + 10 + number,
        slots: 6,
        isFaulty: number < SERVERS * SERVER_SHARE,
      }),
  );
  const all = [...engines, ...servers];
  await Promise.all(all.map((each) => each.start()));
  platform.publishConfiguration();
  const publish = () => all.forEach((each) => each.publish());
  publish();
  const timer = setInterval(publish, 1_000);
  HOSTS.forEach((number) => platform.startHost(number));
  await platform.waitReady(HOSTS);
  await sleep(1_000);
  const seen = {
    sent: 0,
    whole: 0,
    failed: 0,
    short: 0,
    samples: 0,
    cutSamples: 0,
  };
  const endMs = Date.now() + LOAD_MS;
  const open = [runLots(endMs, seen)];
  for (let number = 0; Date.now() < endMs; number++) {
    open.push(sendRequest(number, seen));
    await sleep(1_000 / REQUESTS_PER_S);
  }
  await Promise.all(open);
  clearInterval(timer);
  await platform.stop();
  all.forEach((each) => each.close());
  platform.note(
    `requests ${seen.sent}, whole ${seen.whole}, failed ${seen.failed}; whole samples ${seen.samples}; ` +
      `answers broken off ${spoiled}; MIXED: ${seen.short} requests, ${seen.cutSamples} samples`,
  );
  return seen;
}

async function sendRequest(number, seen) {
  const attempt = `q${number}-${Math.random().toString(16).slice(2, 10)}`;
  seen.sent++;
  const { status, body } = await platform.call(
    number % HOSTS.length,
    "POST",
    "/query/a",
    {
      headers: {
        "X-Briarhill-Attempt-Id": attempt,
        "X-Briarhill-Deadline-Ms": "2000",
      },
      body: "q",
    },
  );
  if (status !== 200) {
    seen.failed++;
  } else if (bodies.get(attempt)?.includes(String(body))) {
    seen.whole++;
  } else {
    seen.short++;
    platform.note(
      `MIXED: ${attempt} got a complete 200 with ${body.length} of ${BODY_BYTES} bytes`,
    );
  }
}

let code = 2;
try {
  const { short, cutSamples, whole, samples } = await runCase();
  code = short + cutSamples > 0 ? 1 : whole > 0 && samples > 0 ? 0 : 2;
} catch (error) {
  platform.note(`could not run: ${error.stack}`);
  await platform.stop().catch(() => undefined);
}
platform.writeRecord(dirname(fileURLToPath(import.meta.url)));
process.exit(code);
