/**
 * Measures the cost of writing and reading a snapshot, against the number of
 * contracts in it.
 * @module
 */
import {
  decodeNewestSnapshot,
  encodeSnapshot,
} from "@briarhill/control/snapshots/snapshot";
import { createConfigurationState } from "./configuration_measure.ts";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const SNAPSHOTS_PER_HOUR = 12;
const SECONDS_PER_HOUR = 3600;
const MAX_EVENTS = 200;

/** Measures the cost of writing and reading a snapshot. */
export class SnapshotMeasure extends RoleMeasure {
  override readonly role = "snapshot writer";
  override readonly unit = "contracts";
  override readonly sizes = [10, 50, 100, 200];
  override readonly target = {
    size: 200,
    eventsPerSecond: SNAPSHOTS_PER_HOUR / SECONDS_PER_HOUR,
    isControl: true,
  };

  override countEvents(_size: number, requestedEvents: number): number {
    return Math.min(requestedEvents, MAX_EVENTS);
  }

  override buildState(size: number): RoleState {
    const state = createConfigurationState(size);
    const handleEvent = () => {
      const parts = encodeSnapshot(state).map((part) => JSON.stringify(part));
      decodeNewestSnapshot(parts);
      return parts.reduce((sum, part) => sum + part.length, 0);
    };
    return { handleEvent, held: state };
  }
}
