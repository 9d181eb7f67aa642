/**
 * What a trainer sends and reads.
 * @module
 */
import { request } from "node:http";

/** Creates the body of a batch submission. */
export function createLot(
  lot,
  { samples, model = "m0", headers = {}, step = 0 },
) {
  return {
    step,
    model,
    minVersion: 1,
    batchSize: 2,
    items: Array.from({ length: samples }, (_, number) => ({
      id: `${lot}i${number}`,
      path: `/rollout/${number}`,
      headers: {
        "X-Briarhill-Model": model,
        "X-Briarhill-Length-Hint": "30",
        ...headers,
      },
      body: Buffer.from(`prompt ${number}`).toString("base64"),
      tokens: 100,
      group: `${lot}g${number % 2}`,
    })),
  };
}

/** Calls a host on a new connection; resolves with status 0 if there is no answer. */
export function callHost(
  host,
  { method, path, headers = {}, body, timeoutMs = 8_000 },
) {
  return new Promise((resolve) => {
    const fail = () => resolve({ status: 0, body: "" });
    const outgoing = request({
      host: host.ip,
      port: host.port,
      agent: false,
      method,
      path,
      headers: { Host: "app.example", ...headers },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => undefined);
      response.on("close", () =>
        response.complete
          ? resolve({
            status: response.statusCode,
            body: Buffer.concat(chunks).toString(),
          })
          : fail());
    });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.on("error", fail);
    outgoing.end(body);
  });
}

/** Submits a batch submission once. */
export function submitLot(host, lot, content) {
  return callHost(host, {
    method: "POST",
    path: `/rollout/${lot}`,
    headers: {
      "X-Briarhill-Attempt-Id": lot,
      "X-Briarhill-Deadline-Ms": "7500",
      "Content-Type": "application/json",
    },
    body: JSON.stringify(content),
  });
}

/** Reads results from a position. */
export async function readLot(host, lot, after = 0) {
  const { status, body } = await callHost(host, {
    method: "GET",
    path: `/briarhill/lots/${lot}?after=${after}`,
    headers: { "X-Briarhill-Wait-Ms": "200" },
    timeoutMs: 2_500,
  });
  return { status, page: status === 200 ? JSON.parse(body) : undefined };
}

/** The routes and services of a deployment with one model and one plain service. */
export function createConfiguration(version = 1) {
  const common = { host: "app.example", priority: 1 };
  return {
    version,
    routes: [{
      ...common,
      name: "app",
      pathPrefix: "/app/",
      type: "idempotent",
      timeoutMs: 3_000,
      sloMs: 800,
      service: "app",
      maxAttempts: 4,
    }, {
      ...common,
      name: "rollout",
      pathPrefix: "/rollout/",
      type: "rollout",
      timeoutMs: 10_000,
      sloMs: 500,
      service: "engines",
      maxAttempts: 3,
      dueMs: 7_500,
      retentionS: 40,
    }],
    services: [
      { name: "app", healthPath: "/healthz", maxConns: 110 },
      {
        name: "engines",
        healthPath: "/healthz",
        maxConns: 150,
        engine: { models: [{ name: "m0" }] },
      },
    ],
    limits: {},
  };
}
