import { RefusedError, StateError } from "@briarhill/common/errors/errors";
import { Logger, setLogWriter } from "@briarhill/common/logging/logger";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { Pool } from "undici";
import { HttpListener } from "../../src/http/http_listener.ts";

const SLOW_MS = 200;
const TEST_TIMEOUT_MS = 30_000;

describe("HttpListener.stop", () => {
  it("finishes requests in flight while callers send new ones", {
    timeout: TEST_TIMEOUT_MS,
  }, async () => {
    const listener = new HttpListener(Logger.create({}));
    listener.addRoute("GET", "/slow", async (exchange) => {
      await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
      exchange.sendJson(200, { whole: true });
    });
    listener.addRoute("GET", "/fast", (exchange) => {
      exchange.sendJson(200, { whole: true });
    });
    const port = await listener.start({ address: "127.0.0.1", port: 0 });
    const pool = new Pool(`http://127.0.0.1:${port}`, { connections: 2 });
    const get = async (path: string) =>
      await (await pool.request({ method: "GET", path })).body.json();
    await Promise.all([get("/fast"), get("/fast")]);
    const slow = get("/slow");
    let stopped = false;
    const busy = (async () => {
      while (!stopped) {
        await get("/fast").catch(() => undefined);
      }
    })();
    await new Promise((resolve) => setTimeout(resolve, SLOW_MS / 4));
    await listener.stop();
    stopped = true;
    assert.deepEqual(await slow, { whole: true });
    await busy;
    await pool.destroy();
  });
});

describe("HttpListener with many callers", () => {
  it("starts few requests per turn, so that connections are accepted", {
    timeout: TEST_TIMEOUT_MS,
  }, async () => {
    const callers = 64;
    const maxPerTurn = 4;
    const listener = new HttpListener(Logger.create({}));
    let started = 0;
    listener.addRoute("GET", "/", (exchange) => {
      started++;
      exchange.sendJson(200, {});
    });
    const port = await listener.start({ address: "127.0.0.1", port: 0 });
    const sockets = await Promise.all(
      Array.from({ length: callers }, async () => {
        const socket = connect(port, "127.0.0.1");
        await once(socket, "connect");
        return socket.resume();
      }),
    );
    await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
    sockets.forEach((socket) =>
      socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    );
    let most = 0;
    while (started < callers) {
      const before = started;
      await new Promise((resolve) => setImmediate(resolve));
      most = Math.max(most, started - before);
    }
    sockets.forEach((socket) => socket.destroy());
    await listener.stop();
    // A turn can end between two checks, which then count requests of two turns.
    assert.ok(most <= 2 * maxPerTurn, `${most} started at once`);
  });
});

describe("HttpListener.addRoute", () => {
  it("logs a refused request as info and an internal error as an error", async () => {
    const lines: string[] = [];
    setLogWriter((line) => lines.push(line));
    const listener = new HttpListener(Logger.create({}));
    listener.addRoute("GET", "/refused", () => {
      throw new RefusedError("no slot is free");
    });
    listener.addRoute("GET", "/fault", () => {
      throw new StateError("the queue is empty");
    });
    const port = await listener.start({ address: "127.0.0.1", port: 0 });
    const pool = new Pool(`http://127.0.0.1:${port}`);
    const statuses: number[] = [];
    for (const path of ["/refused", "/fault"]) {
      const response = await pool.request({ method: "GET", path });
      await response.body.dump();
      statuses.push(response.statusCode);
    }
    await pool.destroy();
    await listener.stop();
    setLogWriter(() => {});
    const contexts = lines.map((line) => JSON.parse(line).context);
    assert.deepEqual(statuses, [429, 500]);
    assert.deepEqual(
      contexts.map(({ event, logLevel }) => [event, logLevel]),
      [["request-refused", 30], ["request-failed", 50]],
    );
  });
});
