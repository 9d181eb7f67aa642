/**
 * Measures the cost of applying a configuration change, against the number of
 * contracts in force.
 * @module
 */
import { toContractSections } from "@briarhill/contract/contract/contract_sections";
import { applyPage } from "@briarhill/control/configuration/configuration_fold";
import {
  type ConfigurationRecord,
  encodeConfigurationRecord,
  NO_REVISION,
} from "@briarhill/control/configuration/configuration_record";
import {
  type ConfigurationState,
  EMPTY_CONFIGURATION,
} from "@briarhill/control/configuration/configuration_state";
import { createContractStructure } from "./contract_fixture.ts";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const CHANGES_PER_DAY = 8300;
const SECONDS_PER_DAY = 86_400;

/** Measures the cost of applying a configuration change. */
export class ConfigurationMeasure extends RoleMeasure {
  override readonly role = "configuration";
  override readonly unit = "contracts";
  override readonly sizes = [10, 50, 100, 200];
  override readonly target = {
    size: 200,
    eventsPerSecond: CHANGES_PER_DAY / SECONDS_PER_DAY,
    isControl: true,
  };

  override buildState(size: number): RoleState {
    const held = { state: createConfigurationState(size) };
    const handleEvent = (index: number) => {
      const customer = index % size;
      const { state } = held;
      const subject = state.subjects.get(`contract/customer-${customer}`);
      const basedOn = subject?.revision ?? NO_REVISION;
      const value = createRecordText({ customer, count: size, basedOn });
      held.state = applyRecordText(state, value);
      return value.length;
    };
    return { handleEvent, held };
  }
}

/**
 * Returns a configuration that holds the first contract of each customer.
 *
 * @example
 * ```ts
 * const state = createConfigurationState(100);
 * ```
 * @param count - The number of customers.
 */
export function createConfigurationState(count: number): ConfigurationState {
  let state = EMPTY_CONFIGURATION;
  for (let customer = 0; customer < count; customer++) {
    const basedOn = NO_REVISION;
    state = applyRecordText(
      state,
      createRecordText({ customer, count, basedOn }),
    );
  }
  return state;
}

function applyRecordText(
  state: ConfigurationState,
  value: string,
): ConfigurationState {
  const offset = state.offset + 1;
  const page = { records: [{ offset, timeMs: 0, value }], first: 0 };
  return applyPage(state, page).state;
}

function createRecordText(
  options: {
    readonly customer: number;
    readonly count: number;
    readonly basedOn: number;
  },
): string {
  const { customer, count, basedOn } = options;
  const structure = createContractStructure(customer, count);
  const record: ConfigurationRecord = {
    kind: "contract",
    writer: "operator",
    session: "capacity",
    sequence: customer,
    basedOn,
    customer: structure.customer,
    sections: JSON.parse(JSON.stringify(toContractSections(structure))),
  };
  return encodeConfigurationRecord(record);
}
