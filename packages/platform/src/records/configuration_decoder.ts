/**
 * Decodes the operator's configuration. Unknown fields are ignored; a missing
 * optional field gets a default.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type {
  CallerLimits,
  RouteKind,
  RouteStructure,
  RouteTarget,
  RoutingConfiguration,
  ServiceStructure,
} from "@briarhill/routing/table/route";
import { hashKey } from "@briarhill/routing/workspaces/key_digest";
import type { WorkspaceStructure } from "@briarhill/routing/workspaces/workspace";
import type { ScalingTerms } from "@briarhill/common/scaling/scaling_terms";
import type { Buffer } from "node:buffer";
import { FieldReader } from "./field_reader.ts";

const KINDS: ReadonlyMap<string, RouteKind> = new Map([
  ["idempotent", "idempotent"],
  ["non_idempotent", "non-idempotent"],
  ["keyed", "non-idempotent"],
  ["streaming", "stream"],
  ["rollout", "rollout"],
  ["batch", "rollout"],
]);

const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Retention of a route that sets none, in seconds. */
const DEFAULT_RETENTION_S = 120;

/**
 * Decodes the operator's configuration from a record.
 *
 * @example
 * ```ts
 * const { version } = decodeConfiguration(Buffer.from('{"version":1}'));
 * ```
 * @param value - The record's value.
 */
export function decodeConfiguration(value: Buffer): RoutingConfiguration {
  const fields = FieldReader.parse("the configuration", value);
  return {
    version: fields.getInteger("version"),
    routes: fields.listObjects("routes").map(decodeRoute),
    services: fields.listObjects("services").map(decodeService),
    limits: decodeLimits(fields.getObject("limits")),
    workspaces: fields.listObjects("tenants").map(decodeWorkspace),
  };
}

function decodeRoute(fields: FieldReader): RouteStructure {
  const type = fields.getText("type");
  const kind = KINDS.get(type);
  if (kind === undefined) {
    throw new InputError(`unknown route type "${type}"`);
  }
  return {
    name: fields.getText("name"),
    host: fields.getText("host"),
    isPublic: fields.isTrue("public"),
    pathPrefix: fields.getText("pathPrefix"),
    kind,
    isResumable: fields.isTrue("resumable"),
    isSingleVersion: fields.isTrue("singleVersion"),
    timeoutMs: fields.getNumber("timeoutMs", 30_000),
    // A response within this time earns full credit.
    objectiveMs: fields.getNumber("sloMs", 1_000),
    priority: fields.getNumber("priority", 5),
    targets: decodeTargets(fields),
    maxAttempts: fields.getInteger("maxAttempts", 1),
    dueMs: fields.getNumber("dueMs", 0),
    retentionMs: 1_000 * fields.getNumber("retentionS", DEFAULT_RETENTION_S),
  };
}

function decodeTargets(fields: FieldReader): readonly RouteTarget[] {
  const split = fields.listObjects("split");
  return split.length === 0
    ? [{ service: fields.getText("service"), weight: 1 }]
    : split.map((target) => ({
      service: target.getText("service"),
      weight: target.getNumber("weight"),
    }));
}

function decodeService(fields: FieldReader): ServiceStructure {
  const engine = fields.getObject("engine");
  const scaling = fields.getObject("scaling");
  return {
    name: fields.getText("name"),
    healthPath: fields.getText("healthPath", "/"),
    maxConnections: fields.getInteger("maxConns", 100),
    models: (engine?.listObjects("models") ?? []).map((model) =>
      model.getText("name")
    ),
    ...(scaling === undefined ? {} : { scaling: decodeScaling(scaling) }),
  };
}

function decodeScaling(fields: FieldReader): ScalingTerms {
  return {
    minCount: fields.getInteger("min", 0),
    maxCount: fields.getInteger("max"),
    bootMs: 1_000 * fields.getNumber("bootS"),
    reclaimablePriceRatio: fields.hasField("spotPrice")
      ? fields.getNumber("spotPrice")
      : undefined,
    domainPrices: new Map(fields.listNumberEntries("zonePrices")),
  };
}

/** Keeps only the digests of the keys. */
function decodeWorkspace(fields: FieldReader): WorkspaceStructure {
  return {
    name: fields.getText("name"),
    keyDigests: fields.listTexts("apiKeys").map(hashKey),
    ...(fields.hasField("priority")
      ? { priority: fields.getNumber("priority") }
      : {}),
  };
}

function decodeLimits(fields: FieldReader | undefined): CallerLimits {
  const { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs } =
    DEFAULT_LIMITS;
  return fields === undefined ? DEFAULT_LIMITS : {
    maxHeaderBytes: fields.getNumber("maxHeaderBytes", maxHeaderBytes),
    maxBodyBytes: fields.getNumber("maxBodyBytes", maxBodyBytes),
    headerTimeoutMs: fields.getNumber("headerTimeoutMs", headerTimeoutMs),
    idleTimeoutMs: fields.getNumber("idleTimeoutMs", idleTimeoutMs),
  };
}
