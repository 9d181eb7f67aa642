import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type {
  EngineCandidate,
  PickRequest,
} from "../../src/picking/engine_candidate.ts";
import type { PickContext } from "../../src/picking/engine_picker.ts";
import { InFlightLedger } from "../../src/picking/in_flight_ledger.ts";
import { PrefixIndex } from "../../src/picking/prefix_index.ts";

export function createCandidate(
  overrides: Partial<EngineCandidate> = {},
): EngineCandidate {
  return {
    id: "engine-0",
    failureDomain: "a",
    role: "mixed",
    models: [{ model: "names", version: 3, adapters: ["es"] }],
    slots: 8,
    roundTripMs: 1,
    report: undefined,
    msPerToken: 15,
    pickShare: 1,
    ...overrides,
  };
}

export function createRequest(
  overrides: Partial<PickRequest> = {},
): PickRequest {
  return {
    model: "names",
    requestClass: "live",
    prefixHash: "",
    excluded: [],
    ...overrides,
  };
}

export function createContext(
  candidates: readonly EngineCandidate[],
  seed = 1,
): PickContext {
  return {
    candidates,
    inFlight: new InFlightLedger(),
    prefixes: new PrefixIndex(),
    medianMsPerToken: 15,
    nowMs: 1000,
    random: new SeededRandom(seed),
  };
}
