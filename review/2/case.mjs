/**
 * Planned stops under load: hosts are stopped with SIGTERM and started again,
 * one at a time, while clients use their open connections.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Rotation, runClient } from "../common/kept_client.mjs";
import { PlainServer } from "../common/plain_server.mjs";
import { BROKEN, HAS_TROUBLE, HELD, runCase } from "../common/run.mjs";

const HOSTS = 4;
const SERVERS = 8;
const CLIENTS = 160;
const WORK_MS = 60;
const THINK_MS = 200;
const GRACE_MS = 8_000;
const STOPS = 14;
/** How long a stop and a start take. */
const STOP_MS = 4_600;
/** The pause between two stops. */
const GAP_MS = 1_000;
const REST_MS = 2_000;

function createConfiguration() {
  return {
    version: 1,
    routes: [{
      name: "app",
      host: "app.example",
      pathPrefix: "/app/",
      type: "idempotent",
      timeoutMs: 3_000,
      sloMs: 800,
      priority: 2,
      service: "app",
      maxAttempts: 4,
    }],
    services: [{ name: "app", healthPath: "/healthz", maxConns: 110 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 33_554_432,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

await runCase(import.meta.url, async (run) => {
  await run.open({ hosts: HOSTS, ports: SERVERS });
  run.store.publish("keyed.op", "config", createConfiguration());
  const servers = Array.from(
    { length: SERVERS },
    (_, number) =>
      new PlainServer(run, {
        id: `srv-${number}`,
        service: "app",
        port: run.firstFreePort + number,
        workMs: WORK_MS,
      }),
  );
  await Promise.all(servers.map((server) => server.start()));
  run.hosts.forEach((host) => host.start());
  const rotation = new Rotation(run);
  await run.waitFor(
    "all hosts are ready",
    () => run.hosts.every((host) => rotation.has(host)),
  );
  await sleep(4_000);

  const ends = [];
  let isOver = false;
  const clients = Array.from({ length: CLIENTS }, (_, number) =>
    runClient({
      run,
      rotation,
      number,
      thinkMs: THINK_MS,
      path: "/app/check",
      body: "x".repeat(600),
      onEnd: (host, end) => ends.push({ ...end, host }),
      isOver: () => isOver,
    }));
  await sleep(REST_MS);

  const stops = [];
  for (let number = 0; number < STOPS; number++) {
    const host = run.hosts[number % HOSTS];
    if (HAS_TROUBLE) {
      stops.push({ host, atMs: Date.now() });
      host.signal("SIGTERM");
      await host.exited;
      host.start();
      // The next host is stopped once this one serves again.
      await sleep(1_000);
      await run.waitFor("the host is back", () => rotation.has(host));
    } else {
      await sleep(STOP_MS);
    }
    await sleep(GAP_MS);
  }
  await sleep(REST_MS);
  isOver = true;
  await Promise.all(clients);

  const served = ends.filter(({ status }) => status === 200).length;
  // LOST, planned work: passed on to a server, then closed without an answer.
  const cut = ends.filter(({ id, host, error, sentAtMs, endedAtMs }) =>
    error !== undefined && error !== "deadline" &&
    servers.some((server) => server.runs.has(id)) &&
    stops.some((stop) =>
      stop.host === host && sentAtMs >= stop.atMs - 3_000 &&
      endedAtMs <= stop.atMs + GRACE_MS + 1_000
    )
  );
  const unread = ends.filter(({ id, error }) =>
    error !== undefined && !servers.some((server) => server.runs.has(id))
  );
  for (const { id, host, error, sentAtMs, endedAtMs, reused } of cut) {
    const server = servers.find(({ runs }) => runs.has(id));
    run.write("cut", {
      id,
      host: host.name,
      error,
      reused,
      sentAtS: (sentAtMs - run.startedAtMs) / 1000,
      arrivedAtServerS: (server.runs.get(id)[0] - run.startedAtMs) / 1000,
      endedAtS: (endedAtMs - run.startedAtMs) / 1000,
    });
  }
  run.write("requests", {
    sent: ends.length,
    served,
    cutAfterPassedOn: cut.length,
    closedUnread: unread.length,
  });
  return cut.length > 0
    ? {
      code: BROKEN,
      verdict:
        `LOST broken: ${cut.length} requests were passed on to a server and got no answer around ${stops.length} planned stops; ${served} of ${ends.length} served`,
    }
    : {
      code: HELD,
      verdict:
        `LOST held: ${served} of ${ends.length} requests served, ${stops.length} planned stops`,
    };
});
