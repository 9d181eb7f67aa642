/**
 * A faulty server sends a second copy of some of its answers, late, at the point
 * where the next answer is expected. One of its 421 answers is among them.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Rotation, runClient } from "../common/kept_client.mjs";
import { PlainServer } from "../common/plain_server.mjs";
import { BROKEN, HAS_TROUBLE, HELD, runCase } from "../common/run.mjs";

const SERVERS = 5;
const CLIENTS = 36;
const WORK_MS = 60;
const THINK_MS = 60;
const RESTARTS = 5;
const RESTART_INTERVAL_MS = 8_000;
/** The share of its answers that a faulty server may spoil. */
const MAX_SPOILED_SHARE = 0.03;

function createConfiguration() {
  return {
    version: 1,
    routes: [{
      name: "register",
      host: "app.example",
      pathPrefix: "/register/",
      type: "non_idempotent",
      timeoutMs: 3_000,
      sloMs: 800,
      priority: 2,
      service: "app",
      maxAttempts: 3,
    }],
    services: [{ name: "app", healthPath: "/healthz", maxConns: 110 }],
    limits: {},
  };
}

/** A server that crashes, starts again with a new id, and spoils some answers. */
class FaultyServer extends PlainServer {
  answers = 0;
  spoiled = 0;
  lives = 1;
  /** Connections on which a second copy of the last answer is due. */
  due = new WeakMap();

  constructor(run, options) {
    super(run, options);
    this.server.prependListener("request", (request, response) => {
      const { socket } = request;
      const copy = this.due.get(socket);
      if (copy !== undefined) {
        this.due.delete(socket);
        socket.write(copy.bytes);
        this.run.write("late-copy", {
          ofAnswerTo: copy.id,
          before: request.headers["x-briarhill-attempt-id"],
        });
      }
      response.once("finish", () => {
        this.answers++;
        const isSpoiled = HAS_TROUBLE && response.statusCode === 421 &&
          this.spoiled + 1 <= MAX_SPOILED_SHARE * this.answers &&
          request.headers["x-briarhill-attempt-id"] !== undefined;
        if (isSpoiled) {
          this.spoiled++;
          const id = request.headers["x-briarhill-attempt-id"];
          this.due.set(socket, {
            id,
            bytes:
              `HTTP/1.1 421 Misdirected Request\r\nX-Briarhill-Attempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
          });
        }
      });
    });
  }

  /** Crashes and starts again at its address; its old entry lapses later. */
  restart() {
    const old = this.id;
    this.server.closeAllConnections();
    this.lapse(old);
    this.id = `${old.split(".")[0]}.${++this.lives}`;
    this.bornMs = Date.now();
    this.sequence = 0;
    this.publish();
    this.run.write("server-restart", { old, now: this.id });
  }
}

await runCase(import.meta.url, async (run) => {
  await run.open({ hosts: 1, ports: SERVERS });
  run.store.publish("keyed.op", "config", createConfiguration());
  const servers = Array.from({ length: SERVERS }, (_, number) => {
    const Kind = number === 0 ? FaultyServer : PlainServer;
    return new Kind(run, {
      id: `srv-${number}`,
      service: "app",
      port: run.firstFreePort + number,
      workMs: WORK_MS,
    });
  });
  await Promise.all(servers.map((server) => server.start()));
  run.hosts.forEach((host) => host.start());
  const rotation = new Rotation(run);
  await run.waitFor(
    "the host is ready",
    () => run.hosts.every((host) => rotation.has(host)),
  );
  await sleep(3_000);

  const ends = [];
  let isOver = false;
  const clients = Array.from({ length: CLIENTS }, (_, number) =>
    runClient({
      run,
      rotation,
      number,
      thinkMs: THINK_MS,
      path: "/register/entry",
      body: "one entry of the register",
      onEnd: (host, end) => ends.push({ ...end, host }),
      isOver: () => isOver,
    }));
  for (let number = 0; number < RESTARTS; number++) {
    await sleep(RESTART_INTERVAL_MS);
    if (HAS_TROUBLE) {
      servers[0].restart();
    }
  }
  await sleep(RESTART_INTERVAL_MS);
  isOver = true;
  await Promise.all(clients);

  const countRuns = (id) =>
    servers.reduce((sum, { runs }) => sum + (runs.get(id)?.length ?? 0), 0);
  const twice = ends.filter(({ id }) => countRuns(id) > 1);
  const refused = ends.filter(({ id, status }) =>
    [408, 421, 429, 503].includes(status) && countRuns(id) > 0
  );
  for (const { id, status, error } of [...twice, ...refused]) {
    run.write("broken", {
      id,
      status,
      error,
      runs: servers.flatMap((server) =>
        (server.runs.get(id) ?? []).map((atMs) => ({
          port: server.port,
          atS: (atMs - run.startedAtMs) / 1000,
        }))
      ),
    });
  }
  const statuses = {};
  for (const { status, error } of ends) {
    statuses[status ?? error] = (statuses[status ?? error] ?? 0) + 1;
  }
  run.write("requests", {
    sent: ends.length,
    ends: statuses,
    answersOfTheFaultyServer: servers[0].answers,
    spoiled: servers[0].spoiled,
    ranTwice: twice.length,
    refusedAfterRun: refused.length,
  });
  return twice.length + refused.length > 0
    ? {
      code: BROKEN,
      verdict:
        `TWICE broken: ${twice.length} requests ran twice, ${refused.length} were refused and had run; ${
          servers[0].spoiled
        } of ${servers[0].answers} answers had a second copy`,
    }
    : { code: HELD, verdict: `TWICE held: ${ends.length} requests` };
});
