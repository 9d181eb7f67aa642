/**
 * A client that keeps its connection open for many requests, as the pages say:
 * it respects `Connection: close` and opens new connections only at hosts that
 * the platform has in rotation.
 * @module
 */
import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const DEADLINE_MS = 3_000;

let nextId = 1;

/**
 * Sends one request and resolves with how it ended.
 *
 * @returns The status of a complete answer, or the error that ended the request.
 */
export function sendRequest(host, { agent, path, body, headers = {} }) {
  const id = `q${(nextId++).toString(16).padStart(8, "0")}`;
  const sentAtMs = Date.now();
  return new Promise((resolve) => {
    const settle = (end) =>
      resolve({ id, sentAtMs, endedAtMs: Date.now(), ...end });
    const outgoing = request({
      host: host.ip,
      port: host.port,
      agent,
      method: "POST",
      path,
      headers: {
        Host: "app.example",
        "X-Briarhill-Attempt-Id": id,
        "X-Briarhill-Deadline-Ms": String(DEADLINE_MS),
        "Content-Length": Buffer.byteLength(body),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => undefined);
      response.on("close", () => {
        const isWhole = response.complete;
        settle({
          status: isWhole ? response.statusCode : undefined,
          error: isWhole ? undefined : "cut within the answer",
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          reused: outgoing.reusedSocket,
        });
      });
    });
    const timer = setTimeout(() => outgoing.destroy(), DEADLINE_MS + 500);
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.on("error", (error) => {
      const isOverdue = Date.now() - sentAtMs >= DEADLINE_MS;
      settle({
        error: isOverdue ? "deadline" : error.code ?? String(error),
        reused: outgoing.reusedSocket,
      });
    });
    outgoing.end(body);
  });
}

/** The platform's checks of readiness: two misses take a host out of rotation. */
export class Rotation {
  constructor(run) {
    this.run = run;
    this.misses = new Map();
    const timer = setInterval(() => this.check(), 1_000);
    run.closers.push(() => clearInterval(timer));
  }

  check() {
    for (const host of this.run.hosts) {
      const miss = () =>
        this.misses.set(host, (this.misses.get(host) ?? 0) + 1);
      const probe = request({
        host: host.ip,
        port: host.port + 1,
        path: "/briarhill/readyz",
        agent: false,
        timeout: 900,
      }, (response) => {
        response.resume();
        response.statusCode === 200 ? this.misses.set(host, 0) : miss();
      });
      probe.on("timeout", () => probe.destroy());
      probe.on("error", miss);
      probe.end();
    }
  }

  /** Whether new connections go to a host. */
  has(host) {
    return (this.misses.get(host) ?? 2) < 2;
  }
}

/** Sends requests one after another over a kept connection until `isOver`. */
export async function runClient(
  { run, rotation, number, thinkMs, path, body, onEnd, isOver },
) {
  while (!isOver()) {
    const hosts = run.hosts.filter((host) => rotation.has(host));
    const host = hosts[number % Math.max(1, hosts.length)];
    if (host === undefined) {
      await sleep(100);
      continue;
    }
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let isOpen = true;
    while (isOpen && !isOver()) {
      const end = await sendRequest(host, { agent, path, body });
      onEnd(host, end);
      isOpen = end.error === undefined && end.headers?.connection !== "close";
      if (isOpen) {
        const [socket] = Object.values(agent.freeSockets).flat();
        await sleep(-thinkMs * Math.log(1 - Math.random()));
        // The host has closed the connection while it was idle.
        isOpen = socket !== undefined && !socket.destroyed;
      }
    }
    agent.destroy();
  }
}
