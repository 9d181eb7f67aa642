/**
 * The contract of a customer, with the grants and limits that are derived from
 * it.
 * @module
 */
import type { CustomerId, ModelName } from "@briarhill/common/ids/ids";
import type {
  ContractStructure,
  ServiceGrantStructure,
} from "./contract_structure.ts";

/** A validated contract at a revision. */
export class Contract {
  /** The contract as plain data. */
  readonly structure: ContractStructure;
  /** The offset of the log record that brought the contract into force. */
  readonly revision: number;

  constructor(structure: ContractStructure, revision: number) {
    this.structure = structure;
    this.revision = revision;
  }

  /** Returns the customer that holds the contract. */
  get customer(): CustomerId {
    return this.structure.customer;
  }

  /**
   * Returns whether a bearer key belongs to the customer.
   *
   * @param keyHash - The SHA-256 hash of the key, in hexadecimal.
   */
  hasKey(keyHash: string): boolean {
    return this.structure.keyHashes.includes(keyHash);
  }

  /**
   * Returns whether live callers may use a model.
   *
   * @param model - The model's name.
   */
  isLiveModel(model: ModelName): boolean {
    return this.structure.live?.models.includes(model) ?? false;
  }

  /**
   * Returns whether the trainer may use a model.
   *
   * @param model - The model's name.
   */
  isTrainingModel(model: ModelName): boolean {
    return this.structure.training?.models.includes(model) ?? false;
  }

  /**
   * Returns the customer's grant for a service, or undefined if the customer
   * may not call it.
   *
   * @param service - The service's name.
   */
  getServiceGrant(service: string): ServiceGrantStructure | undefined {
    return this.structure.services.find((grant) => grant.name === service);
  }

  /** Returns the share of all engine time that is reserved for live calls. */
  getLiveFloorShare(): number {
    const { share, liveFloor } = this.structure.engineTime;
    return share * liveFloor;
  }
}
