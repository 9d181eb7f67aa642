/**
 * A faulty server answers one run of an item with a body that never ends: after
 * the first events it goes on with events without data until the caller closes.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { listCutRequests, writeCutRequests } from "../common/cut_requests.mjs";
import { EngineServer } from "../common/engine_server.mjs";
import { Rotation, runClient } from "../common/kept_client.mjs";
import {
  createConfiguration,
  createLot,
  readLot,
  submitLot,
} from "../common/lots.mjs";
import { PlainServer } from "../common/plain_server.mjs";
import { BROKEN, HAS_TROUBLE, HELD, runCase } from "../common/run.mjs";

const HOSTS = 3;
const SERVERS = 4;
const ENGINES = 3;
const CLIENTS = 64;
const WORK_MS = 150;
const THINK_MS = 150;
const SAMPLES = 24;
const LOT_INTERVAL_MS = 4_000;
const WATCH_MS = 70_000;
/** Answers of the faulty server before the one that does not end, so that it spoils less than 1 in 50. */
const SOUND_ANSWERS = 60;
/** How many closed requests of one kind the rule allows. */
const ALLOWED_CUTS = 3;
const EVENTS_PER_CHUNK = 4_000;

/** A model server, one of whose answers does not end. */
class FaultyEngine extends EngineServer {
  spoiled = 0;

  async runStream(exchange) {
    const isSound = !HAS_TROUBLE || this.spoiled > 0 ||
      this.streams.length < SOUND_ANSWERS;
    await (isSound
      ? super.runStream(exchange)
      : this.runEndlessStream(exchange));
  }

  async runEndlessStream({ response, id, headers }) {
    this.spoiled++;
    this.run.write("endless-answer", { id });
    response.writeHead(200, {
      ...headers,
      "X-Briarhill-Server-Signature": `${this.id}.${id}`,
      "X-Briarhill-Weight-Versions": String(this.version),
      "Content-Type": "text/event-stream",
    });
    const closed = new Promise((resolve) => response.once("close", resolve));
    let next = 0;
    let bytes = 0;
    while (!response.destroyed) {
      let chunk = "";
      for (let count = 0; count < EVENTS_PER_CHUNK; count++) {
        chunk += `id: ${next++}\n\n`;
      }
      bytes += chunk.length;
      if (!response.write(chunk)) {
        await Promise.race([
          closed,
          new Promise((resolve) => response.once("drain", resolve)),
        ]);
      }
    }
    this.run.write("endless-answer-closed", { id, events: next, bytes });
  }
}

await runCase(import.meta.url, async (run) => {
  await run.open({ hosts: HOSTS, ports: SERVERS + ENGINES });
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
  const engines = Array.from({ length: ENGINES }, (_, number) => {
    const Kind = number === 0 ? FaultyEngine : EngineServer;
    return new Kind(run, {
      id: `eng-${number}`,
      service: "engines",
      port: run.firstFreePort + SERVERS + number,
      model: "m0",
      events: 20,
      eventMs: 15,
      slots: 8,
    });
  });
  await Promise.all([...servers, ...engines].map((server) => server.start()));
  let isOver = false;
  run.hosts.forEach((host) => void host.supervise(() => isOver));
  const rotation = new Rotation(run);
  await run.waitFor(
    "all hosts are ready",
    () => run.hosts.every((host) => rotation.has(host)),
  );
  await sleep(5_000);

  const ends = [];
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
  const endMs = Date.now() + WATCH_MS;
  const lots = [];
  for (let step = 0; Date.now() < endMs; step++) {
    const lot = `lot${step}`;
    const content = createLot(lot, { samples: SAMPLES, step });
    const { status } = await submitLot(run.hosts[step % HOSTS], lot, content);
    lots.push(lot);
    run.write("lot", { lot, status });
    await sleep(LOT_INTERVAL_MS);
  }
  const listed = {};
  for (const lot of lots) {
    const { status, page } = await readLot(run.hosts[0], lot);
    listed[lot] = page === undefined ? `status ${status}` : page.results.length;
  }
  isOver = true;
  await Promise.all(clients);
  const ownEnds = run.hosts.flatMap(({ exits }) => exits);

  const cut = listCutRequests(ends, servers);
  writeCutRequests(run, cut);
  run.hosts.forEach(({ name, output }) =>
    run.write("host-errors", { host: name, output: output.slice(-1_200) })
  );
  run.write("result", {
    ownEnds: ownEnds.length,
    cut: cut.length,
    requests: ends.length,
    answersOfTheFaultyServer: engines[0].streams.length,
    spoiled: engines[0].spoiled,
    listed,
  });
  return cut.length > ALLOWED_CUTS
    ? {
      code: BROKEN,
      verdict:
        `LOST broken: ${cut.length} requests were passed on and their connections closed without an answer; hosts ended by themselves ${ownEnds.length} times`,
    }
    : {
      code: HELD,
      verdict: `LOST held: ${cut.length} cut, ${ownEnds.length} own ends`,
    };
});
