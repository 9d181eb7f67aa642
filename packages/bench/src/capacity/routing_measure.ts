/**
 * Measures the cost of picking an engine, against the number of engines that a
 * node watches.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { AffinityPicker } from "@briarhill/routing/picking/affinity_picker";
import type {
  EngineCandidate,
  PickRequest,
} from "@briarhill/routing/picking/engine_candidate";
import { InFlightLedger } from "@briarhill/routing/picking/in_flight_ledger";
import { PrefixIndex } from "@briarhill/routing/picking/prefix_index";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const PREFIXES = 512;
const EVENT_SPACING_MS = 20;

/** Measures the cost of picking an engine. */
export class RoutingMeasure extends RoleMeasure {
  override readonly role = "request routing";
  override readonly unit = "engines watched";
  override readonly sizes = [8, 16, 32, 64];
  override readonly target = {
    size: 64,
    eventsPerSecond: 49,
    isControl: false,
  };

  override buildState(size: number): RoleState {
    const candidates = Array.from({ length: size }, createCandidate);
    const inFlight = new InFlightLedger();
    const prefixes = new PrefixIndex();
    const random = new SeededRandom(size);
    const picker = new AffinityPicker();
    const handleEvent = (index: number) => {
      const nowMs = index * EVENT_SPACING_MS;
      const request = createRequest(random.getInteger(PREFIXES));
      const { prefixHash } = request;
      const context = {
        candidates,
        inFlight,
        prefixes,
        nowMs,
        random,
        medianMsPerToken: 15,
      };
      const id = picker.pick(request, context)?.id ?? "";
      prefixes.recordSent(id, { prefixHash, nowMs });
      inFlight.recordStart(id, { requestClass: "live", nowMs });
      inFlight.recordEnd(id, { requestClass: "live", nowMs });
      return 0;
    };
    return { handleEvent, held: [candidates, inFlight, prefixes] };
  }
}

function createCandidate(_: unknown, index: number): EngineCandidate {
  return {
    id: `engine-${index}`,
    failureDomain: "a",
    role: "mixed",
    models: [{ model: "names-es", version: 3, adapters: [] }],
    slots: 16,
    roundTripMs: 1,
    report: { asOfMs: 0, running: 4, queued: 0 },
    msPerToken: 15,
    pickShare: 1,
  };
}

function createRequest(prefix: number): PickRequest {
  return {
    model: "names-es",
    requestClass: "live",
    prefixHash: `prefix-${prefix}`,
    excluded: [],
  };
}
