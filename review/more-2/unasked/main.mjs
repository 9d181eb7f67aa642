// An engine is partitioned from all machines for some seconds while a step begins and ends.
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createLot, recordRuns, runCase } from "../../common-2/deployment.mjs";
import { BOUNDS } from "../../common-2/hosts.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const EVENTS = 16;
const EVENT_MS = 40;
const FIRST_ITEMS = 24;
const ITEMS = 24;
const CUT_MS = 8_000;
/** What was sent at the begin of the cut is sent again 6.2 s and 12.6 s later. */
const WATCH_MS = 15_000;
const TIME_BUDGET_MS = 12_000;

// Hands in a step, ends it when all items are listed, and resolves with the time of the ack of its end.
async function runStep(deployment, record, { id, items }) {
  const startMs = Date.now();
  const { status } = await deployment.sendLot(0, id, createLot(id, { items }));
  record.add(`step ${id} of ${items} items was answered ${status}`);
  let listed = 0;
  while (listed < items && Date.now() < startMs + TIME_BUDGET_MS) {
    await sleep(100);
    const { page } = await deployment.readLot(0, id);
    listed = page?.next ?? listed;
  }
  const ended = await deployment.endLot(0, id);
  record.add(
    `step ${id}: ${listed} of ${items} items were listed after ${
      Date.now() - startMs
    } ms; its end was answered ${ended.status}`,
  );
  return Date.now();
}

await runCase(FOLDER, async ({ deployment, record, hasTrouble }) => {
  const { engines, links } = deployment;
  for (const engine of engines) {
    engine.events = EVENTS;
    engine.eventMs = EVENT_MS;
  }
  await runStep(deployment, record, { id: "aa00", items: FIRST_ITEMS });
  await sleep(1_000);

  const [link] = links;
  const cutMs = Date.now();
  if (hasTrouble) {
    link.cut();
    record.add("engine-0 is partitioned from all machines, silently");
    setTimeout(() => {
      link.heal();
      record.add("the partition has healed");
    }, CUT_MS);
  }
  const id = "bb00";
  const ackMs = await runStep(deployment, record, { id, items: ITEMS });
  await sleep(cutMs + WATCH_MS - Date.now());

  for (const { sentMs, arrivedMs } of link.late) {
    record.add(
      `held up: sent ${
        sentMs - cutMs
      } ms after the begin of the cut, arrived at ${arrivedMs - cutMs} ms`,
    );
  }
  recordRuns(record, engines, id);
  const late = engines.flatMap(({ runs }) => runs).filter((run) =>
    run.id.startsWith(id) && run.arrivedMs > ackMs + BOUNDS.cancelMs &&
    // A request is not counted as late soon after its link was cut.
    run.arrivedMs > link.healedMs + BOUNDS.stableWindowMs
  );
  for (const run of late) {
    record.add(
      `item ${run.id} reached ${run.server} ${
        run.arrivedMs - ackMs
      } ms after the ack of the end of its lot and ${
        run.arrivedMs - link.healedMs
      } ms after the partition had healed, and ran`,
    );
  }
  record.add(`items that ran too late: ${late.length}`);
  return late.length > 0;
}, { hasLinks: true });
