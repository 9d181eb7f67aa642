/**
 * Decides at which endpoints a stream may begin or go on. A stream must go on only
 * at the software version of the service that began it; if that is not known, the
 * stream is rejected.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { RequestHead } from "@briarhill/platform/ingress/request_head";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import {
  isSameVersion,
  type ServiceVersion,
} from "@briarhill/routing/origins/version_registry";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { IncarnationCheck } from "../endpoints/incarnation_check.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { Rejection } from "../limits/endpoint_admission.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import { OriginFinder, type OriginFinderOptions } from "./origin_finder.ts";

/** The retry delay while this host can't find out where a stream began, in milliseconds: a reconnection to the store. */
const UNKNOWN_RETRY_MS = 300;
/** The retry delay while the version that began a stream has no endpoint, in milliseconds: the usual time to restart. */
const GONE_RETRY_MS = 1_000;

/**
 * The rejection of a stream whose record the log has not confirmed. The record may
 * still be written, so that the same attempt must not begin elsewhere.
 */
export const UNRECORDED_REJECTION: Rejection = {
  reason: "unknown-origin",
  retryAfterMs: UNKNOWN_RETRY_MS,
};

/** The endpoints at which a stream may begin or go on. */
export interface AcceptedPlacement {
  readonly kind: "begins" | "goes-on";
  /** The only service to use; undefined for any of the route. */
  readonly service?: string;
  readonly accepts: (endpoint: EndpointStructure) => boolean;
}

/** Where a stream may begin or go on, or why it may not. */
export type StreamPlacement =
  | AcceptedPlacement
  | (Rejection & { readonly kind: "rejected" });

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions extends OriginFinderOptions {
  readonly clock: Clock;
  readonly metrics: HostMetrics;
  readonly directory: EndpointDirectory;
  readonly incarnations: IncarnationCheck;
  /** Reads the list of endpoints to its end. */
  readonly readEndpoints: () => Promise<void>;
}

/** Decides at which endpoints streams may begin or go on. */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  readonly #finder: OriginFinder;

  constructor(options: StreamOriginsOptions) {
    this.#options = options;
    this.#finder = new OriginFinder(options);
  }

  /**
   * Decides where the stream of a client attempt may begin or go on.
   *
   * @param head - The head of the client's request.
   * @param route - The route.
   */
  async decidePlacement(
    head: RequestHead,
    route: RouteStructure,
  ): Promise<StreamPlacement> {
    if (!route.isResumable) {
      return { kind: "begins", accepts: () => true };
    }
    const placement = head.lastEventId === ""
      ? await this.#decideStart(route)
      : await this.#decideResumption(head, route);
    if (head.lastEventId !== "" || placement.kind === "rejected") {
      this.#logPlacement(head, placement);
    }
    return placement;
  }

  /**
   * Confirms the software version of the endpoint at which a stream is about to
   * begin or go on, records it if a record is needed, and resolves with whether the
   * stream may be sent there.
   *
   * @param attemptId - The client attempt.
   * @param route - The route.
   * @param endpoint - The endpoint.
   * @param isResumption - Whether the stream goes on.
   */
  async recordStart(
    attemptId: string,
    { route, endpoint, isResumption }: {
      /** Whether the stream goes on, so that it keeps its record. */
      readonly isResumption: boolean;
      readonly route: RouteStructure;
      readonly endpoint: EndpointStructure;
    },
  ): Promise<boolean> {
    if (!route.isResumable) {
      return true;
    }
    const origin = getOrigin(endpoint);
    const { versions, records, incarnations } = this.#options;
    if (!await incarnations.isConfirmed(endpoint)) {
      return false;
    }
    if (isResumption) {
      return true;
    }
    // A record of an earlier try of the same attempt has to be replaced.
    const isNeeded = this.#finder.hasLocal(attemptId) ||
      versions.registry.isRecordNeeded(origin, listServices(route));
    if (!isNeeded) {
      return true;
    }
    const waited = new AbortController();
    const isWritten = await Promise.race([
      records.recordStream(attemptId, origin),
      this.#options.clock.sleep(route.objectiveMs, waited.signal)
        .then(() => false),
    ]).finally(() => waited.abort());
    if (isWritten) {
      this.#finder.addLocal(attemptId, origin);
    }
    return isWritten;
  }

  async #decideStart(route: RouteStructure): Promise<StreamPlacement> {
    const { versions, directory, readEndpoints } = this.#options;
    if (versions.registry.listVersions(listServices(route)).length > 1) {
      await readEndpoints();
    }
    const endpoints = listServices(route).flatMap((service) =>
      directory.listEndpoints(service)
    );
    const isRegistered = (endpoint: EndpointStructure) =>
      versions.registry.hasVersion(getOrigin(endpoint));
    const missing = endpoints.filter((endpoint) => !isRegistered(endpoint));
    const registrations = missing.map((endpoint) =>
      versions.registerVersion(getOrigin(endpoint))
    );
    if (missing.length > 0 && missing.length === endpoints.length) {
      await Promise.all(registrations);
      if (!endpoints.some(isRegistered)) {
        return createRejection("unknown-origin", UNKNOWN_RETRY_MS);
      }
    }
    const needsRecord = (endpoint: EndpointStructure) =>
      versions.registry.isRecordNeeded(
        getOrigin(endpoint),
        listServices(route),
      );
    // While records can't be written, streams begin where they need none.
    const isRestricted = !versions.isCurrent &&
      endpoints.some((endpoint) => !needsRecord(endpoint));
    return {
      kind: "begins",
      accepts: (endpoint) =>
        isRegistered(endpoint) && !(isRestricted && needsRecord(endpoint)),
    };
  }

  async #decideResumption(
    head: RequestHead,
    route: RouteStructure,
  ): Promise<StreamPlacement> {
    const { directory, readEndpoints } = this.#options;
    await readEndpoints();
    const origin = await this.#finder.findOrigin(
      head.resumedAttemptId,
      listServices(route),
    );
    if (origin === undefined) {
      return createRejection("unknown-origin", UNKNOWN_RETRY_MS);
    }
    const accepts = (endpoint: EndpointStructure) =>
      isSameVersion(getOrigin(endpoint), origin);
    const isServed = listServices(route).includes(origin.service) &&
      directory.listEndpoints(origin.service).some(accepts);
    return isServed
      ? { kind: "goes-on", service: origin.service, accepts }
      : createRejection("version-gone", GONE_RETRY_MS);
  }

  #logPlacement(head: RequestHead, placement: StreamPlacement): void {
    const { logger, metrics } = this.#options;
    const outcome = placement.kind === "rejected"
      ? placement.reason
      : placement.kind;
    metrics.addStreamPlacement(outcome);
    logger.info("stream-placed", {
      request: head.attemptId,
      resumed: head.resumedAttemptId,
      lastEvent: head.lastEventId,
      outcome,
    });
  }
}

function createRejection(
  reason: "unknown-origin" | "version-gone",
  retryAfterMs: number,
): StreamPlacement {
  return { kind: "rejected", reason, retryAfterMs };
}

function getOrigin(
  { service, softwareVersion }: EndpointStructure,
): ServiceVersion {
  return { service, version: softwareVersion };
}

function listServices({ targets }: RouteStructure): readonly string[] {
  return targets.map(({ service }) => service);
}
