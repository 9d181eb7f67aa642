/**
 * The types of a contract as plain data, as it is published and stored.
 * @module
 */
import type { CustomerId, ModelName } from "@briarhill/common/ids/ids";

/** The entitlements and limits of a customer. */
export interface ContractStructure {
  readonly customer: CustomerId;
  /** The SHA-256 hash of each bearer key of the customer, in hexadecimal. */
  readonly keyHashes: readonly string[];
  readonly engineTime: EngineTimeStructure;
  readonly live: LiveStructure | undefined;
  readonly services: readonly ServiceGrantStructure[];
  readonly training: TrainingStructure | undefined;
}

/** The engine time that the customer is entitled to. */
export interface EngineTimeStructure {
  /** The share of all engine time, from 0 to 1. */
  readonly share: number;
  /**
   * The live floor: the part of the share that is reserved for live calls and
   * that training can't use, from 0 to 1.
   */
  readonly liveFloor: number;
  /** Whether other customers may use engine time that the customer leaves idle. */
  readonly lend: boolean;
  /** The time within which borrowers must return lent engine time, in milliseconds. */
  readonly takeBackMs: number;
}

/** The models and limits of live calls. */
export interface LiveStructure {
  readonly models: readonly ModelName[];
  /** Calls with a higher priority are scheduled first. */
  readonly priority: number;
  readonly maxOpenCalls: number;
  readonly maxQueuedCalls: number;
  readonly maxTokens: number;
  readonly maxBodyBytes: number;
  readonly deadlineMs: number;
}

/** A plain service that the customer may call. */
export interface ServiceGrantStructure {
  readonly name: string;
  /**
   * Whether calls may be repeated safely; callers can mark single calls as
   * non-idempotent.
   */
  readonly idempotent: boolean;
  readonly maxOpenCalls: number;
  readonly maxBodyBytes: number;
  readonly deadlineMs: number;
}

/** The models and limits of the customer's trainer. */
export interface TrainingStructure {
  readonly models: readonly ModelName[];
  /** Samples with a higher priority are scheduled first, but never before live calls. */
  readonly priority: number;
  /** The staleness bounds that no delivered sample may exceed. */
  readonly staleness: StalenessStructure;
  /** The quantity to minimize if idle time and staleness can't both be low. */
  readonly favours: "idle-time" | "staleness";
  /**
   * The URL of the service that scores samples; without it, samples are
   * delivered unscored.
   */
  readonly scorer: string | undefined;
  readonly maxOpenLots: number;
  readonly maxSamplesPerLot: number;
  readonly maxTokens: number;
}

/** The staleness bounds of a sample at its delivery. */
export interface StalenessStructure {
  /**
   * The maximum number of versions that the oldest span may be behind the
   * newest version.
   */
  readonly maxVersionsBehind: number;
  /**
   * The maximum time since the version of the oldest span was replaced by a
   * newer one, in milliseconds.
   */
  readonly maxAgeMs: number;
}
