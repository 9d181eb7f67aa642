/**
 * Finds the workspace of a request's caller by the configuration in force. A key
 * that only a newer configuration may hold must not be rejected.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeKey,
  decodeWorkspace,
} from "@briarhill/platform/ingress/caller_credentials";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import {
  decideKey,
  type KeyDecision,
  type RevocationPolicy,
} from "@briarhill/routing/workspaces/key_decision";
import {
  formatDigest,
  hashKey,
} from "@briarhill/routing/workspaces/key_digest";
import type { CallerExchange } from "../calls/caller_exchange.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";

/** The maximum time that a request waits for a new read of the configuration, in milliseconds. */
const MAX_READ_MS = 250;
/** The retry delay while this host can't tell whether a key is valid, in milliseconds; other hosts may know. */
const UNCONFIRMED_RETRY_MS = 100;

/** The configuration that this host knows, and how old it is. */
export interface ConfigurationView {
  readonly table: RouteTable | undefined;
  /** Whether the last read of the shared log has failed. */
  readonly isConfigurationUnreadable: boolean;
  /** Returns the time since the configuration was last confirmed, in milliseconds. */
  getConfigurationAgeMs(): number;
  /** Reads the configuration again; resolves also if that fails. */
  readConfiguration(): Promise<void>;
}

/** Options of {@link CallerCheck}. */
export interface CallerCheckOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  readonly policy: RevocationPolicy;
  readonly configuration: ConfigurationView;
}

/** Whether a request may go on, and for which workspace. */
export type CallerVerdict =
  | {
    readonly kind: "accepted";
    /** Undefined if the request needs no key and none is known. */
    readonly workspace: string | undefined;
  }
  | { readonly kind: "rejected" }
  | { readonly kind: "unavailable"; readonly retryAfterMs: number };

interface KeyLookup {
  readonly isKnown: boolean;
  readonly workspace: string | undefined;
}

/** Finds the workspaces of callers by the configuration in force. */
export class CallerCheck {
  readonly #options: CallerCheckOptions;
  /** The read of the configuration under way, which all waiting requests share. */
  #reading: Promise<void> | undefined;

  constructor(options: CallerCheckOptions) {
    this.#options = options;
  }

  /**
   * Finds the workspace of a request's caller.
   *
   * @param exchange - The request.
   * @param isPublic - Returns whether the request needs no key by a configuration.
   */
  async checkCaller(
    exchange: CallerExchange,
    isPublic: (table: RouteTable) => boolean,
  ): Promise<CallerVerdict> {
    const key = decodeKey(exchange.request.headers);
    const digest = key === undefined ? "" : hashKey(key);
    const findWorkspace = () => this.#findWorkspace(exchange, digest, isPublic);
    const lookup = findWorkspace();
    const first = this.#decide(lookup, true);
    if (first !== "read") {
      return this.#createVerdict(exchange, { digest, lookup, decision: first });
    }
    await this.#readConfiguration();
    const renewed = findWorkspace();
    const decision = this.#decide(renewed, false);
    return this.#createVerdict(exchange, { digest, lookup: renewed, decision });
  }

  #findWorkspace(
    { request, isForwarded }: CallerExchange,
    digest: string,
    isPublic: (table: RouteTable) => boolean,
  ): KeyLookup {
    const { table } = this.#options.configuration;
    if (table === undefined || table.workspaces.isEmpty) {
      return { isKnown: true, workspace: undefined };
    }
    const workspace =
      (isForwarded ? decodeWorkspace(request.headers) : undefined) ??
        table.workspaces.findByDigest(digest)?.name;
    return { isKnown: workspace !== undefined || isPublic(table), workspace };
  }

  #decide({ isKnown }: KeyLookup, mayRead: boolean): KeyDecision {
    const { configuration, policy } = this.#options;
    return decideKey({
      isKnown,
      ageMs: configuration.getConfigurationAgeMs(),
      canRead: mayRead && !configuration.isConfigurationUnreadable,
    }, policy);
  }

  async #readConfiguration(): Promise<void> {
    const { clock, configuration } = this.#options;
    this.#reading ??= configuration.readConfiguration().finally(() => {
      this.#reading = undefined;
    });
    const isRead = new AbortController();
    await Promise.race([
      this.#reading,
      clock.sleep(MAX_READ_MS, isRead.signal),
    ]);
    isRead.abort();
  }

  #createVerdict(
    exchange: CallerExchange,
    { digest, lookup, decision }: {
      readonly digest: string;
      readonly lookup: KeyLookup;
      readonly decision: KeyDecision;
    },
  ): CallerVerdict {
    if (decision === "accepted") {
      return { kind: "accepted", workspace: lookup.workspace };
    }
    const { configuration, logger, metrics } = this.#options;
    const kind = decision === "rejected" ? decision : "unavailable";
    metrics.addRefusedKey(kind);
    logger.info("key-refused", {
      request: exchange.head.attemptId,
      key: formatDigest(digest),
      workspace: lookup.workspace ?? "",
      decision: kind,
      configuration: configuration.table?.version ?? -1,
      ageMs: Math.round(configuration.getConfigurationAgeMs()),
    });
    return kind === "rejected"
      ? { kind }
      : { kind, retryAfterMs: UNCONFIRMED_RETRY_MS };
  }
}
