// The store is down for some seconds while the samples of a lot end, whose text takes three bytes a character. Tells
// whether the results of the lot are ever listed. Breaks no rule by its letter; see REPORT-2.md.
import { createServer, request } from "node:http";
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
/** The limit of the settings for one record (recordBytes). */
const RECORD_BYTES = 262_144;
const GROUPS = 14;
const GROUP_SIZE = 8;
const EVENTS = 18;
/** 300 bytes an event, as on the sheet of the grown site. */
const EVENT_CHARACTERS = 100;
const DOWN_MS = 4_500;
const WAIT_MS = 45_000;
const isTrouble = process.env.TROUBLE !== "0";

const platform = new Platform({
  hosts: HOSTS.length,
  configuration: {
    routes: [{
      name: "rollout-ind",
      host,
      pathPrefix: "/rollout/",
      type: "rollout",
      timeoutMs: 10_000,
      sloMs: 500,
      dueMs: 7_500,
      priority: 0,
      service: "gen",
      maxAttempts: 3,
      retentionS: 60,
      sticky: true,
    }],
    services: [{
      name: "gen",
      healthPath: "/healthz",
      maxConns: 550,
      protocol: "h1",
      tls: false,
      engine: { slots: 8, kvCapacity: 102_120, models: [{ name: "m0" }] },
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 33_554_432,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  },
});
let isDown = false;
let rejected = 0;

function isTooLarge(body) {
  for (let at = 0; at + 4 <= body.length;) {
    const bytes = body.readUInt32BE(at);
    if (bytes > RECORD_BYTES) {
      return true;
    }
    at += 4 + bytes;
  }
  return false;
}

/** Stands before the store: keeps the limit of a record, which the project's stand-in does not, and is down at times. */
const front = createServer((incoming, response) => {
  const chunks = [];
  incoming.on("error", () => undefined);
  incoming.on("data", (chunk) => chunks.push(chunk));
  incoming.on("end", () => {
    const body = Buffer.concat(chunks);
    if (isDown) {
      response.writeHead(503).end();
    } else if (
      incoming.url.startsWith("/briarhill/log-append") && isTooLarge(body)
    ) {
      rejected++;
      response.writeHead(413).end("{}");
    } else {
      forward(incoming, response, body);
    }
  });
});

function forward({ method, url, headers, socket }, response, body) {
  const outgoing = request({
    host: "127.0.0.1",
    port: platform.base,
    localAddress: socket.remoteAddress,
    method,
    path: url,
    headers,
  }, (answer) => {
    response.writeHead(answer.statusCode, answer.headers);
    answer.pipe(response);
  });
  outgoing.on("error", () => response.destroy());
  response.on("close", () => outgoing.destroy());
  outgoing.end(body);
}

/** Its streams end at different times, so that results come a few at a time. */
class Engine extends Endpoint {
  async run(call, response, context) {
    await sleep(600 * Math.random());
    await super.run(call, response, context);
  }

  text(attempt, event) {
    return `${attempt}.${event} `.padEnd(EVENT_CHARACTERS, "ẽ");
  }
}

async function countResults(id) {
  let count = 0;
  for (let after = 0;;) {
    const { status, body } = await platform.call(
      1,
      "GET",
      `/briarhill/lots/${id}?after=${after}`,
    );
    if (status !== 200) {
      return count;
    }
    const page = JSON.parse(body);
    count += page.results.length;
    if (page.results.length === 0 || page.next >= page.total) {
      return count;
    }
    after = page.next;
  }
}

async function runCase() {
  await platform.start();
  await new Promise((resolve) =>
    front.listen(platform.base + 39, "127.0.0.1", resolve)
  );
  platform.storeAddress = () => `127.0.0.1:${platform.base + 39}`;
  const engines = Array.from(
    { length: 6 },
    (_, number) =>
      new Engine(platform, {
        id: `i-gen${number}`,
        service: "gen",
        port: platform.base + 10 + number,
        models: ["m0"],
        events: EVENTS,
      }),
  );
  await Promise.all(engines.map((engine) => engine.start()));
  platform.publishConfiguration();
  const publish = () => engines.forEach((engine) => engine.publish());
  publish();
  const timer = setInterval(publish, 1_000);
  HOSTS.forEach((number) => platform.startHost(number));
  await platform.waitReady(HOSTS);
  await sleep(4_000);
  const items = Array.from({ length: GROUPS * GROUP_SIZE }, (_, number) => ({
    id: `item-${number}`,
    path: "/rollout/x",
    headers: { "X-Briarhill-Model": "m0" },
    body: "",
    tokens: 100,
    group: `g${Math.floor(number / GROUP_SIZE)}`,
  }));
  const { status } = await platform.call(0, "POST", "/rollout/a", {
    headers: {
      "X-Briarhill-Attempt-Id": "lot-a",
      "X-Briarhill-Deadline-Ms": "6000",
    },
    body: JSON.stringify({
      step: 0,
      model: "m0",
      minVersion: 1,
      batchSize: GROUPS,
      items,
    }),
  });
  platform.note(`lot-a of ${items.length} items: status ${status}`);
  // The first samples run by now.
  await sleep(300);
  isDown = isTrouble;
  await sleep(DOWN_MS);
  isDown = false;
  platform.note("the store serves");
  let listed = 0;
  for (
    const endMs = Date.now() + WAIT_MS;
    Date.now() < endMs && listed < items.length;
  ) {
    await sleep(3_000);
    listed = await countResults("lot-a");
    const runs = engines.reduce((sum, engine) => sum + engine.runs.length, 0);
    platform.note(
      `results listed ${listed} of ${items.length}, runs at servers ${runs}, appends with a record over ${RECORD_BYTES} bytes ${rejected}`,
    );
  }
  clearInterval(timer);
  await platform.stop();
  front.close();
  front.closeAllConnections();
  engines.forEach((engine) => engine.close());
  return { status, isWhole: listed === items.length };
}

let code = 2;
try {
  const { status, isWhole } = await runCase();
  code = status !== 202 ? 2 : isWhole ? 0 : 1;
} catch (error) {
  platform.note(`could not run: ${error.stack}`);
  await platform.stop().catch(() => undefined);
}
platform.writeRecord(dirname(fileURLToPath(import.meta.url)));
process.exit(code);
