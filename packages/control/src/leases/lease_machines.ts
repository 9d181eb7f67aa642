/**
 * Holds the statecharts of all leases that one host competes for, and sends
 * events to them.
 * @module
 */
import { initialTransition, type SnapshotFrom, transition } from "xstate";
import {
  LEASE_MACHINE,
  type LeaseCommand,
  type LeaseEvent,
} from "./lease_machine.ts";

/** The state of a lease's statechart. */
export type LeaseState = SnapshotFrom<typeof LEASE_MACHINE>["value"];

/** The statecharts of all leases that one host competes for. */
export class LeaseMachines {
  readonly #machines = new Map<string, SnapshotFrom<typeof LEASE_MACHINE>>();

  /**
   * Adds the statechart of a lease if there is none yet.
   *
   * @param lease - The lease.
   */
  addLease(lease: string): void {
    if (!this.#machines.has(lease)) {
      const [machine] = initialTransition(LEASE_MACHINE);
      this.#machines.set(lease, machine);
    }
  }

  /**
   * Removes the statechart of a lease.
   *
   * @param lease - The lease.
   */
  removeLease(lease: string): void {
    this.#machines.delete(lease);
  }

  /**
   * Returns the statechart of a lease.
   *
   * @param lease - The lease.
   */
  getMachine(lease: string): SnapshotFrom<typeof LEASE_MACHINE> | undefined {
    return this.#machines.get(lease);
  }

  /** Returns the leases that have a statechart. */
  listLeases(): readonly string[] {
    return [...this.#machines.keys()];
  }

  /** Returns the states of all statecharts. */
  listStates(): readonly LeaseState[] {
    return [...this.#machines.values()].map(({ value }) => value);
  }

  /** Returns whether the host competes for no lease. */
  isIdle(): boolean {
    return this.listStates().every((state) => state === "unsought");
  }

  /**
   * Sends an event to a lease's statechart; returns the kind of claim to append.
   *
   * @param lease - The lease.
   * @param event - The event.
   */
  send(lease: string, event: LeaseEvent): LeaseCommand | undefined {
    const machine = this.#machines.get(lease);
    if (machine === undefined) {
      return undefined;
    }
    const [next, actions] = transition(LEASE_MACHINE, machine, event);
    this.#machines.set(lease, next);
    return actions.map(({ type }) => type).find(isCommand);
  }
}

function isCommand(type: string): type is LeaseCommand {
  return type === "claim" || type === "renew" || type === "release";
}
