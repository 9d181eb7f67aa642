/**
 * Holds the configuration that this host has applied, indexed by customer and
 * by key hash. The applied offset never decreases.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Contract } from "@briarhill/contract/contract/contract";
import {
  applyFetchResponse,
  type FetchResponse,
  type LocalConfiguration,
} from "@briarhill/control/configuration/configuration_exchange";
import {
  applyPage,
  type FoldResult,
  type ReadPage,
  type ReadRecord,
} from "@briarhill/control/configuration/configuration_fold";
import {
  type ConfigurationState,
  EMPTY_CONFIGURATION,
  listContracts,
} from "@briarhill/control/configuration/configuration_state";
import { RecordTail } from "@briarhill/control/configuration/record_tail";
import { hashConfiguration } from "@briarhill/control/snapshots/snapshot";

/** Holds the configuration that this host has applied; its offset only increases. */
export class ConfigurationStore {
  readonly #logger: Logger;
  readonly #callbacks: (() => void)[] = [];
  #state = EMPTY_CONFIGURATION;
  #tail = RecordTail.create();
  #sha256: string | undefined;
  #contracts: readonly Contract[] = [];
  #byCustomer: ReadonlyMap<CustomerId, Contract> = new Map();
  #byKey: ReadonlyMap<string, Contract> = new Map();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Returns the applied state and the most recent records that led to it. */
  getAppliedConfiguration(): LocalConfiguration {
    return { state: this.#state, tail: this.#tail };
  }

  /** Returns the SHA-256 of the applied state, computed once per revision. */
  getSha256(): string {
    this.#sha256 ??= hashConfiguration(this.#state);
    return this.#sha256;
  }

  /** Returns the contracts in force. */
  getContracts(): readonly Contract[] {
    return this.#contracts;
  }

  /**
   * Returns the contract of a customer.
   *
   * @param customer - The customer's id.
   */
  getContract(customer: CustomerId): Contract | undefined {
    return this.#byCustomer.get(customer);
  }

  /**
   * Returns the contract that a bearer key belongs to.
   *
   * @param keyHash - The SHA-256 of the key, in hexadecimal.
   */
  getContractByKeyHash(keyHash: string): Contract | undefined {
    return this.#byKey.get(keyHash);
  }

  /**
   * Registers a callback that runs after each change.
   *
   * @param callback - The callback to run.
   */
  subscribe(callback: () => void): void {
    this.#callbacks.push(callback);
  }

  /**
   * Applies a page of the log, and returns whether records before it are missing.
   *
   * @param page - The page read from the log.
   */
  handlePage(page: ReadPage): boolean {
    const result = applyPage(this.#state, page);
    this.#setState(result, page.records);
    return result.gap;
  }

  /**
   * Applies a peer's response to a configuration fetch.
   *
   * @param answer - The response.
   */
  handleFetchAnswer(answer: FetchResponse): void {
    this.#setState(applyFetchResponse(this.#state, answer), answer.records);
  }

  /**
   * Replaces the state by a snapshot if the snapshot is newer.
   *
   * @param snapshot - The snapshot, or undefined for a no-op.
   */
  handleSnapshot(snapshot: ConfigurationState | undefined): void {
    if (snapshot !== undefined) {
      this.#setState({ state: snapshot, verdicts: [], gap: false }, []);
    }
  }

  #setState(result: FoldResult, records: readonly ReadRecord[]): void {
    const { state, verdicts } = result;
    if (state.offset <= this.#state.offset) {
      return;
    }
    const isContinued = verdicts[0]?.offset === this.#state.offset + 1;
    const tail = isContinued ? this.#tail : RecordTail.create();
    this.#tail = tail.add(
      records.filter(({ offset }) => offset <= state.offset),
    );
    this.#state = state;
    this.#sha256 = undefined;
    this.#buildIndexes();
    for (const { offset, verdict, message } of verdicts) {
      this.#logger.info("configuration-record", { offset, verdict, message });
    }
    this.#callbacks.forEach((callback) => callback());
  }

  #buildIndexes(): void {
    this.#contracts = listContracts(this.#state);
    this.#byCustomer = new Map(
      this.#contracts.map((contract) => [contract.customer, contract]),
    );
    this.#byKey = new Map(
      this.#contracts.flatMap((contract) =>
        contract.structure.keyHashes.map((hash) => [hash, contract] as const)
      ),
    );
  }
}
