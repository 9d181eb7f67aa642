/**
 * Defines the measurement of the cost of one node role at several sizes.
 * @module
 */

const WARM_UP_EVENTS = 300;

/** The measured cost of a role at one size. */
export interface RoleSample {
  readonly size: number;
  /** Processor time of one event, in microseconds. */
  readonly cpuUs: number;
  /** Memory that the state of the role occupies, in bytes. */
  readonly heapBytes: number;
  /** Bytes that the role sends or appends for one event. */
  readonly messageBytes: number;
}

/** The expected load of a role at the target size. */
export interface RoleTarget {
  readonly size: number;
  /** Events that the role handles per second on one node. */
  readonly eventsPerSecond: number;
  /** Whether the cost counts towards the budget of control roles. */
  readonly isControl: boolean;
}

/** Measures one role by running its decision code. */
export abstract class RoleMeasure {
  /** The name of the role in docs/CAPACITY.md. */
  abstract readonly role: string;

  /** The unit of the size, such as "engines". */
  abstract readonly unit: string;

  /** The sizes to measure, in ascending order. */
  abstract readonly sizes: readonly number[];

  abstract readonly target: RoleTarget;

  /**
   * Returns the number of events that fill the state before it is measured.
   *
   * @param _size - The size.
   */
  countWarmUp(_size: number): number {
    return WARM_UP_EVENTS;
  }

  /**
   * Returns the number of events to measure.
   *
   * @param _size - The size.
   * @param requestedEvents - The number of events that the bench requests.
   */
  countEvents(_size: number, requestedEvents: number): number {
    return requestedEvents;
  }

  /**
   * Builds the state of the role at a size.
   *
   * @param size - The size, in the unit of the role.
   */
  abstract buildState(size: number): RoleState | Promise<RoleState>;
}

/** The state of a role, ready to handle events. */
export interface RoleState {
  /** Handles one event and returns the number of bytes sent or appended. */
  readonly handleEvent: (index: number) => number | Promise<number>;
  /** Prevents garbage collection of the state while memory is measured. */
  readonly held: unknown;
  /** Stops the processes and timers that the state has started. */
  readonly stop?: () => Promise<void>;
}
