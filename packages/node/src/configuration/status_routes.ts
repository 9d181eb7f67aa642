/**
 * Serves a node's status and configuration to operators.
 * @module
 */
import { listDrains } from "@briarhill/control/configuration/configuration_state";
import type { NodeStatus } from "@briarhill/control/configuration/node_status";
import { encodeSnapshot } from "@briarhill/control/snapshots/snapshot";
import type { Readiness } from "../admin/readiness.ts";
import type { HttpListener } from "../http/http_listener.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { LogContractSource } from "./log_contract_source.ts";

/** Dependencies of `StatusRoutes`. */
export interface StatusParts {
  readonly contracts: LogContractSource;
  readonly readiness: Readiness;
  readonly peers?: PeerNetwork | undefined;
}

/** Serves `/control/status` and `/control/configuration`. */
export class StatusRoutes {
  readonly #context: NodeContext;
  readonly #parts: StatusParts;

  constructor(context: NodeContext, parts: StatusParts) {
    this.#context = context;
    this.#parts = parts;
  }

  /**
   * Adds the routes to a listener.
   *
   * @param listener - The listener that serves operators and health probes.
   */
  register(listener: HttpListener): void {
    listener.addRoute("GET", "/control/status", (exchange) => {
      exchange.sendJson(200, this.getStatus());
    });
    listener.addRoute("GET", "/control/configuration", (exchange) => {
      exchange.sendJson(200, encodeSnapshot(this.#parts.contracts.getState()));
    });
  }

  /** Returns the status that the node reports about itself. */
  getStatus(): NodeStatus {
    const { contracts, readiness, peers } = this.#parts;
    const { ready, accepting } = readiness.getReport();
    const { host, region, failureDomain } = this.#context.settings;
    const state = contracts.getState();
    return {
      host,
      region,
      failureDomain,
      incarnation: peers?.getLocalMember().incarnation ?? 0,
      revision: state.offset,
      sha256: contracts.getSha256(),
      ready,
      accepting,
      customers: contracts.getContracts().map(({ customer }) => customer),
      drains: [...listDrains(state)],
      members: (peers?.getMembers() ?? []).map((member) => ({
        host: member.host,
        incarnation: member.incarnation,
        address: member.address,
        state: member.state,
      })),
    };
  }
}
