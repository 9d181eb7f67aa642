// The store forgets its history while all hosts are killed. Judges the rule ONE: orders of two machines to one
// server, less than leaseMs apart.
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Endpoint } from "../../standins-2/endpoint.mjs";
import {
  Platform,
  SERVICE_HOST as host,
  sleep,
} from "../../standins-2/platform.mjs";

const LEASE_MS = 3_000;
const HOSTS = [0, 1, 2];
const MODELS = ["m0", "m1"];
const ENGINES = 2;
/** The times at which the hosts are killed, after the start of the load, and how long they are down. */
const KILLS_MS = [8_000, 18_000, 28_000, 38_000, 48_000];
const DOWN_MS = 500;
const END_MS = 58_000;
const NAME_INTERVAL_MS = 500;
const isTrouble = process.env.TROUBLE !== "0";

const platform = new Platform({
  hosts: HOSTS.length,
  configuration: {
    routes: [{
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
    services: [{
      name: "gen",
      healthPath: "/healthz",
      maxConns: 150,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 8,
        kvCapacity: 102_120,
        models: MODELS.map((name) => ({ name })),
      },
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 33_554_432,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  },
});

function findBreaches(orders) {
  const breaches = [];
  for (const server of new Set(orders.map((order) => order.server))) {
    const own = orders.filter((order) => order.server === server);
    for (let index = 1; index < own.length; index++) {
      const [before, after] = [own[index - 1], own[index]];
      const gapMs = after.at - before.at;
      if (before.holder !== after.holder && gapMs < LEASE_MS) {
        breaches.push(
          `${server}: ${before.holder} (token ${before.fencingToken}), ${gapMs} ms later ${after.holder} (token ${after.fencingToken})`,
        );
      }
      if (after.fencingToken < before.fencingToken) {
        breaches.push(
          `${server}: token ${after.fencingToken} after ${before.fencingToken}`,
        );
      }
      if (
        before.holder !== after.holder &&
        after.fencingToken === before.fencingToken
      ) {
        breaches.push(
          `${server}: two holders with token ${after.fencingToken}`,
        );
      }
    }
  }
  return breaches;
}

async function runCase() {
  await platform.start();
  const engines = Array.from(
    { length: ENGINES },
    (_, number) =>
      new Endpoint(platform, {
        id: `i-gen${number}`,
        service: "gen",
        port: platform.base + 10 + number,
        models: MODELS,
        zone: `zone-${"abc"[number % 3]}`,
      }),
  );
  await Promise.all(engines.map((engine) => engine.start()));
  platform.publishConfiguration();
  const publish = () => engines.forEach((engine) => engine.publish());
  publish();
  const timers = [setInterval(publish, 1_000)];
  HOSTS.forEach((number) => platform.startHost(number));
  await platform.waitReady(HOSTS);
  const startMs = Date.now();
  platform.note("load starts");
  let named = 1;
  timers.push(setInterval(() => {
    const model = MODELS[named % MODELS.length];
    const version = 1 + Math.ceil(named / MODELS.length);
    named++;
    platform.store.publish("keyed.op", `version/${model}`, { model, version });
  }, NAME_INTERVAL_MS));
  for (const atMs of KILLS_MS) {
    await sleep(startMs + atMs - Date.now());
    HOSTS.forEach((number) => platform.kill(number));
    await Promise.all(platform.hosts.map((child) => child.ended));
    if (isTrouble) {
      platform.store.clearHistory();
      platform.note("the store forgets its history");
    }
    await sleep(startMs + atMs + DOWN_MS - Date.now());
    HOSTS.forEach((number) => platform.startHost(number));
  }
  await sleep(startMs + END_MS - Date.now());
  timers.forEach((timer) => clearInterval(timer));
  const orders = engines.flatMap((engine) => engine.orders).sort((
    first,
    second,
  ) => first.at - second.at);
  await platform.stop();
  engines.forEach((engine) => engine.close());
  const breaches = findBreaches(orders);
  platform.note(`${orders.length} orders, ${breaches.length} breaches of ONE`);
  breaches.forEach((breach) => platform.note(`ONE: ${breach}`));
  return { orders, breaches };
}

let code = 2;
try {
  const { orders, breaches } = await runCase();
  code = orders.length === 0 ? 2 : breaches.length > 0 ? 1 : 0;
} catch (error) {
  platform.note(`could not run: ${error.stack}`);
  await platform.stop().catch(() => undefined);
}
platform.writeRecord(dirname(fileURLToPath(import.meta.url)));
process.exit(code);
