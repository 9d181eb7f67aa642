/**
 * Measures the cost of one poll of an engine over HTTP, against the number of
 * engines that a node watches.
 * @module
 */
import { throwIfUndefined } from "@briarhill/common/errors/throw_if";
import { EndpointPoller } from "@briarhill/node/endpoints/endpoint_poller";
import { HttpEngine } from "@briarhill/ports/engine/http_engine";
import { PrefixIndex } from "@briarhill/routing/picking/prefix_index";
import { StandInProcess } from "../nodes/stand_in_process.ts";
import { createLocalContext } from "./local_context.ts";
import { RoleMeasure, type RoleState } from "./role_measure.ts";
import { StepClock } from "./step_clock.ts";

const POLLS_PER_SECOND = 16;
const MAX_EVENTS = 1000;
const POLL_INTERVAL_MS = 4000;

/** Measures the cost of one poll of an engine over HTTP. */
export class LoadReportMeasure extends RoleMeasure {
  override readonly role = "load reports";
  override readonly unit = "engines watched";
  override readonly sizes = [8, 16, 32, 64];
  override readonly target = {
    size: 64,
    eventsPerSecond: POLLS_PER_SECOND,
    isControl: false,
  };

  override countEvents(_size: number, requestedEvents: number): number {
    return Math.min(requestedEvents, MAX_EVENTS);
  }

  override async buildState(size: number): Promise<RoleState> {
    const standIns = await StandInProcess.start();
    const clock = new StepClock();
    const context = createLocalContext("entry-1", clock);
    const prefixes = new PrefixIndex();
    let reports = 0;
    const pollers = Array.from({ length: size }, (_, index) => {
      const { engines } = standIns.addresses;
      const id = `engine-${index}`;
      return new EndpointPoller(context, {
        engine: new HttpEngine(engines[index % engines.length] ?? ""),
        service: undefined,
        getIntervalMs: () => POLL_INTERVAL_MS,
        getCacheSequence: () => prefixes.getSequence(id),
        onPoll: ({ load, cacheEvents: events = [] }) => {
          throwIfUndefined(
            load,
            `the poll of engine "${id}" returned no load report`,
          );
          prefixes.applyEvents(id, { events, nowMs: clock.getMonotonicMs() });
          reports++;
        },
      });
    });
    const handleEvent = async (index: number) => {
      const expectedReports = reports + 1;
      if (index < size) {
        void pollers[index]?.run();
      } else {
        clock.runNext();
      }
      await clock.waitForTimer(() => reports >= expectedReports);
      return 0;
    };
    const stop = async () => {
      pollers.forEach((poller) => poller.stop());
      await standIns.stop();
    };
    return { handleEvent, held: [pollers, prefixes], stop };
  }
}
