/**
 * A stand-in for the platform's lagging list of endpoints.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import {
  HostList,
  type ListedEndpoint,
} from "@briarhill/ports/hosts/host_list";
import { FaultPlan } from "../faults/fault_plan.ts";
import { LaggedValue } from "../time/lagged_value.ts";

/** A stand-in for the platform's list of endpoints; changes show after a lag. */
export class FakeHostList extends HostList {
  readonly faults: FaultPlan;
  readonly #endpoints: LaggedValue<readonly ListedEndpoint[]>;

  constructor(clock: Clock, lagMs = 0) {
    super();
    this.faults = new FaultPlan("hosts", clock);
    this.#endpoints = new LaggedValue<readonly ListedEndpoint[]>(
      clock,
      lagMs,
      [],
    );
  }

  /**
   * Adds an endpoint, or replaces the one of its id.
   *
   * @param endpoint - The endpoint.
   */
  setEndpoint(endpoint: ListedEndpoint): void {
    const others = this.#getOthers(endpoint.id);
    this.#endpoints.set([...others, endpoint]);
  }

  /**
   * Removes an endpoint.
   *
   * @param id - The endpoint's id.
   */
  removeEndpoint(id: EndpointId): void {
    this.#endpoints.set(this.#getOthers(id));
  }

  override getEndpoints(): Promise<readonly ListedEndpoint[]> {
    return this.faults.run("getEndpoints", () => this.#endpoints.get());
  }

  #getOthers(id: EndpointId): readonly ListedEndpoint[] {
    return this.#endpoints.getNewest().filter((other) => other.id !== id);
  }
}
