import { ResponseMemory } from "@briarhill/common/http/response_memory";
import { Logger } from "@briarhill/common/logging/logger";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { encodeUsage } from "@briarhill/platform/cloud/duty_calls";
import assert from "node:assert/strict";
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { DutyCaller } from "../../src/duties/duty_caller.ts";
import { HostMetrics } from "../../src/observe/host_metrics.ts";

const HOSTNAME = "127.0.0.1";
const CALL = encodeUsage({ window: 7, counts: new Map([["w", 3]]) });

describe("DutyCaller.call", () => {
  let status = 200;
  let requests: IncomingMessage[] = [];
  const server = createServer((request, response) => {
    requests.push(request);
    request.resume();
    response.writeHead(status).end();
  });
  before(() =>
    new Promise<void>((resolve) => server.listen(0, HOSTNAME, resolve))
  );
  after(() => server.close());
  beforeEach(() => {
    status = 200;
    requests = [];
  });

  /** Creates a caller whose host may make a number of calls before its term ends. */
  function createCaller(allowedCalls = Infinity): DutyCaller {
    let left = allowedCalls;
    const { port } = server.address() as AddressInfo;
    return new DutyCaller({
      internalResponses: new ResponseMemory({ limitBytes: 1_000_000 }),
      clock: new SystemClock(),
      logger: Logger.create({}),
      metrics: new HostMetrics(),
      lease: { isHolder: true, token: 12, canOrder: () => left-- > 0 },
      holder: "host-1",
      cloud: {
        address: { hostname: HOSTNAME, port },
        duties: [],
        callsPerS: 50,
        windowMs: 5_000,
        reportDueMs: 10_000,
      },
    });
  }

  it("states the holder and its fencing number", async () => {
    const caller = createCaller();
    assert.equal(await caller.call("usage", CALL), "accepted");
    caller.close();
    const [request] = requests;
    assert.equal(request?.url, "/usage");
    assert.equal(request?.headers["x-briarhill-duty-holder"], "host-1");
    assert.equal(request?.headers["x-briarhill-fencing-token"], "12");
  });

  it("sends no call of a host whose term has ended while the call waited for its turn", async () => {
    const caller = createCaller(1);
    const results = await Promise.all([
      caller.call("usage", CALL),
      caller.call("usage", CALL),
    ]);
    caller.close();
    assert.deepEqual(results, ["accepted", "not-sent"]);
    assert.equal(requests.length, 1);
  });

  it("returns what the platform replies", async () => {
    const caller = createCaller();
    status = 429;
    assert.equal(await caller.call("usage", CALL), "throttled");
    status = 409;
    assert.equal(await caller.call("usage", CALL), "none-available");
    caller.close();
  });
});
