/**
 * Assembles the components of a host that generate text.
 * @module
 */
import type { RequestClass } from "@briarhill/common/ids/ids";
import { AffinityPicker } from "@briarhill/routing/picking/affinity_picker";
import { HedgePolicy } from "@briarhill/routing/retries/hedge_policy";
import { RetryBudget } from "@briarhill/routing/retries/retry_budget";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { PollingEndpointDirectory } from "../endpoints/polling_endpoint_directory.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import { AdmissionGate } from "./admission_gate.ts";
import { EnginePool } from "./engine_pool.ts";
import type { Generator } from "./generator.ts";
import { RoutedGenerator } from "./routed_generator.ts";
import { RunMonitor } from "./run_monitor.ts";
import { ShareManager } from "./share_manager.ts";

/** Options of a {@link Generation}. */
export interface GenerationOptions {
  readonly contracts: ContractSource;
  readonly directory: PollingEndpointDirectory;
  readonly peers: PeerNetwork;
}

/** The components of a host that generate text. */
export class Generation {
  /** Runs generations for live calls and for training. */
  readonly generator: Generator;
  readonly #monitor: RunMonitor;
  readonly #shareManager: ShareManager;

  constructor(context: NodeContext, options: GenerationOptions) {
    const { clock, random, settings } = context;
    const { directory } = options;
    const gate = new AdmissionGate(clock);
    this.#monitor = new RunMonitor(clock);
    this.#shareManager = new ShareManager(context, { ...options, gate });
    const pool = new EnginePool({
      directory,
      prefixes: directory.prefixes,
      picker: new AffinityPicker(),
      clock,
      random,
      local: settings,
    });
    const generationContext = {
      node: context,
      pool,
      budgets: { live: new RetryBudget(), rollout: new RetryBudget() },
      hedges: new HedgePolicy(),
      getPaceMs: (requestClass: RequestClass) =>
        this.#monitor.getPaceMs(requestClass),
      getNowMs: () => clock.getMonotonicMs(),
    };
    this.generator = new RoutedGenerator(
      generationContext,
      gate,
      this.#monitor,
    );
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Stops the components.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#monitor.run(signal),
      this.#shareManager.run(signal),
    ]);
  }
}
