/**
 * Interface to the leases that this host seeks or holds. A holder must check
 * its fencing number immediately before each order.
 * @module
 */

/** Name of a lease, such as "snapshots" or "weights/names-es". */
export type LeaseName = string;

/** Acquires and renews leases through the platform's log. */
export abstract class LeaseManager {
  /**
   * Starts to seek a lease: acquires it once it is free, and renews it as long as possible.
   *
   * @param name - The lease.
   */
  abstract seek(name: LeaseName): void;

  /**
   * Releases a lease, and stops seeking it.
   *
   * @param name - The lease.
   */
  abstract release(name: LeaseName): Promise<void>;

  /**
   * Returns the fencing number if this host holds the lease, according to the
   * monotonic clock at the time of the call; otherwise undefined.
   *
   * @param name - The lease.
   */
  abstract getFencing(name: LeaseName): number | undefined;

  /**
   * Returns whether this host holds a lease that no host has held before, so
   * that no order of an earlier holder can be in flight.
   *
   * @param name - The lease.
   */
  abstract isFirstHolder(name: LeaseName): boolean;
}
