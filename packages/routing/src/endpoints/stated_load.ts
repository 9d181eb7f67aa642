/**
 * The load that an endpoint states in its responses.
 * @module
 */

/** The load of an endpoint at the time of a response. */
export interface StatedLoad {
  /** Number of requests of all callers that it runs. */
  readonly running: number;
  /** Number of requests of all callers that wait for a slot. */
  readonly waiting: number;
  /**
   * Duration of work at that time as a multiple of the endpoint's usual
   * duration; undefined if the endpoint does not state it.
   */
  readonly slowdown: number | undefined;
}
