import type { CrashRecord } from "../../src/crashes/crash_record.ts";
import type { EndpointStructure } from "../../src/endpoints/endpoint.ts";

export function createRecord(fields: Partial<CrashRecord> = {}): CrashRecord {
  return {
    digest: "d",
    endpoint: "e0",
    startedAtMs: 1,
    service: "s",
    softwareVersion: "v1",
    isTrial: false,
    foundAtMs: 0,
    ...fields,
  };
}

export function createEndpoint(
  id: string,
  softwareVersion = "v1",
): EndpointStructure {
  return {
    id,
    service: "s",
    softwareVersion,
    address: { hostname: "127.0.0.1", port: 1 },
    failureDomain: "a",
    slots: 4,
    isLeaving: false,
    coldMs: 0,
    startedAtMs: 1,
    models: new Map(),
    beat: 1,
  };
}
