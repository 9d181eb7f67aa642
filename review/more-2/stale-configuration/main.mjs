// The open connections to the store fall silent for good; new ones work.
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  createConfiguration,
  createLot,
  ROUTES,
  runCase,
} from "../../common-2/deployment.mjs";
import { BOUNDS } from "../../common-2/hosts.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** The lots that trainers hand in at the same time, of 16 items each. */
const LOTS = 90;
/** The change of the configuration comes this long after the connections have fallen silent, in milliseconds. */
const CHANGE_AFTER_MS = 1_200;
const SEND_INTERVAL_MS = 50;
const WATCH_MS = 7_000;
/** The number of times that all of this happens unless the rule is broken before. */
const ROUNDS = 3;

async function sendLots(deployment, record, round) {
  const answers = await Promise.all(
    Array.from({ length: LOTS }, (_, number) => {
      const id = `${round + 1}a${(10_000 + number).toString(16)}`;
      return deployment.sendLot(number, id, createLot(id, { items: 16 }));
    }),
  );
  const taken = answers.filter(({ status }) => status === 202).length;
  record.add(`trainers handed in ${LOTS} lots, of which ${taken} were taken`);
}

// Moves the route "app" to the other service and returns the time of the ack.
function changeConfiguration(deployment, record, { version, service }) {
  deployment.publishConfiguration(createConfiguration(
    version,
    ROUTES.map((route) => route.name === "app" ? { ...route, service } : route),
  ));
  record.add(
    `configuration ${version}, which moves the route "app" to the service "${service}", is acknowledged`,
  );
  return Date.now();
}

// Sends requests to all hosts until the time is over and returns their answers.
async function sendRequests(deployment, round, untilMs) {
  const sent = [];
  for (let number = 0; Date.now() < untilMs; number++) {
    deployment.hosts.forEach((_, host) => {
      const id = `c${round}-${number}-${host}`;
      sent.push(
        deployment.sendRequest(host, id)
          .then((answer) => ({ ...answer, id, host })),
      );
    });
    await sleep(SEND_INTERVAL_MS);
  }
  return await Promise.all(sent);
}

async function runRound({ deployment, record, hasTrouble }, round) {
  const { hosts, store, apps, desks } = deployment;
  await sendLots(deployment, record, round);
  await sleep(3_000);

  const silentMs = Date.now();
  if (hasTrouble) {
    const count = store.silenceOpenConnections();
    record.add(`${count} open connections to the store fall silent for good`);
  }
  await sleep(CHANGE_AFTER_MS);
  const version = 4 + round;
  const isMovedAway = round % 2 === 0;
  const ackMs = changeConfiguration(deployment, record, {
    version,
    service: isMovedAway ? "desk" : "app",
  });
  const oldServers = isMovedAway ? apps : desks;
  // From then on all machines are in touch and have to follow the configuration.
  const dueMs = Math.max(
    silentMs + BOUNDS.stableWindowMs,
    ackMs + BOUNDS.configApplyMs,
  );
  const answers = await sendRequests(deployment, round, silentMs + WATCH_MS);
  const late = answers.filter(({ sentMs }) => sentMs > dueMs);
  const runs = new Map(
    oldServers.flatMap((server) =>
      server.runs.map((run) => [run.id, run.server])
    ),
  );
  const stale = late.filter(({ id }) => runs.has(id));
  for (const { id, host, sentMs, status } of stale) {
    record.add(
      `request ${id}, sent to host-${host} ${
        sentMs - ackMs
      } ms after the ack and ${
        sentMs - silentMs
      } ms after the silence, was run by ${
        runs.get(id)
      } of the old service; answer ${status}`,
    );
  }
  for (const host of hosts) {
    const event = host.listEvents().findLast((one) =>
      one.event === "configuration-in-force" && one.version === version
    );
    record.add(
      `${host.name} applied configuration ${version} ${
        event === undefined ? "not at all" : `${event.atMs - ackMs} ms`
      } after its ack`,
    );
  }
  record.add(
    `requests sent later than the bound: ${late.length}; run by the old service: ${stale.length}`,
  );
  return stale.length > 0;
}

await runCase(FOLDER, async (context) => {
  for (let round = 0; round < ROUNDS; round++) {
    if (await runRound(context, round)) {
      return true;
    }
  }
  return false;
});
