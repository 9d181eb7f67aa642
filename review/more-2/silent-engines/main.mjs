// The open connections to the engines fall silent for good; new ones work.
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createLot, recordRuns, runCase } from "../../common-2/deployment.mjs";
import { BOUNDS } from "../../common-2/hosts.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const EVENTS = 36;
/** Within the pauses that the site's sheet allows (120 ms). */
const EVENT_MS = 110;
const FIRST_ITEMS = 24;
const ITEMS = 40;
/** The trainers' time budget on the site, in milliseconds. */
const TIME_BUDGET_MS = 12_000;
/** The idle time after which the third engine closes a connection, in milliseconds. */
const SHORT_KEEP_ALIVE_MS = 2_000;
/** An item must not have been at any server for this long, in milliseconds. */
const IDLE_ITEM_MS = 5_000;
/** The next step begins this long after the silence, when all machines are in touch again, in milliseconds. */
const NEXT_STEP_MS = BOUNDS.stableWindowMs + 500;

// Hands in a step and resolves with the time it took to list all items, or undefined at its time budget.
async function runStep(deployment, record, { id, items }) {
  const startMs = Date.now();
  const { status } = await deployment.sendLot(
    0,
    id,
    createLot(id, { items }),
  );
  record.add(`step ${id} of ${items} items was answered ${status}`);
  let listed = 0;
  while (Date.now() < startMs + TIME_BUDGET_MS) {
    await sleep(500);
    const { page } = await deployment.readLot(0, id);
    if (page !== undefined && page.next !== listed) {
      listed = page.next;
      record.add(`step ${id}: ${listed} of ${items} items are listed`);
    }
    if (listed === items) {
      return Date.now() - startMs;
    }
  }
  return undefined;
}

// Returns the items that were at no server in the last five seconds and that none has finished.
function listIdleItems(runs, { id, items, nowMs }) {
  return Array.from({ length: items }, (_, number) => `${id}x${number}`)
    .filter((item) => {
      const own = runs.filter((run) => run.id === item);
      const isAtServer = own.some(({ endedMs = Infinity }) =>
        endedMs > nowMs - IDLE_ITEM_MS
      );
      return !isAtServer && !own.some(({ isWhole }) => isWhole);
    });
}

await runCase(FOLDER, async ({ deployment, record, hasTrouble }) => {
  const { engines } = deployment;
  for (const engine of engines) {
    engine.events = EVENTS;
    engine.eventMs = EVENT_MS;
  }
  engines[2].server.keepAliveTimeout = SHORT_KEEP_ALIVE_MS;
  const firstMs = await runStep(deployment, record, {
    id: "aa00",
    items: FIRST_ITEMS,
  });
  record.add(`the first step took ${firstMs} ms`);
  record.add(`its end: ${(await deployment.endLot(0, "aa00")).status}`);
  // The third engine closes its idle connections.
  await sleep(SHORT_KEEP_ALIVE_MS + 1_500);
  if (hasTrouble) {
    const counts = engines.map((engine) => engine.silence());
    record.add(
      `the open connections to the engines fall silent: ${counts.join(", ")}`,
    );
  }
  await sleep(NEXT_STEP_MS);

  const step = { id: "bb00", items: ITEMS };
  const tookMs = await runStep(deployment, record, step);
  const nowMs = Date.now();
  const runs = engines.flatMap((engine) => engine.runs);
  const begun = new Set(
    runs.filter(({ id }) => id.startsWith(step.id)).map(({ id }) => id),
  );
  const idle = listIdleItems(runs, { ...step, nowMs });
  const running = engines.reduce((sum, engine) => sum + engine.running, 0);
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  record.add(
    tookMs === undefined
      ? `the step has run out of time: ${begun.size} items have begun, ${idle.length} were at no server for 5 s`
      : `the step took ${tookMs} ms`,
  );
  for (const engine of engines) {
    const count = engine.runs.filter(({ id }) => id.startsWith(step.id)).length;
    record.add(
      `${engine.id} got ${count} runs of the step and runs ${engine.running}`,
    );
  }
  record.add(`the engines run ${running} requests on ${slots} slots`);
  recordRuns(record, engines, step.id);
  const ends = new Map();
  for (const host of deployment.hosts) {
    for (const { event, lot, end, reason } of host.listEvents()) {
      if (event === "sample-attempt-ended" && lot === step.id) {
        const key = `${host.name}: ${end} ${reason}`;
        ends.set(key, (ends.get(key) ?? 0) + 1);
      }
    }
  }
  ends.forEach((count, key) => record.add(`attempts of ${key}: ${count}`));
  return tookMs === undefined && begun.size > 0 && idle.length > 0 &&
    2 * running < slots;
});
