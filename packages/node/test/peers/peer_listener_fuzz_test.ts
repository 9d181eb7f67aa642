import { PortError } from "@briarhill/common/errors/errors";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { DialledPeer } from "../../src/peers/dialled_peer.ts";
import { PeerAuthenticator } from "../../src/peers/peer_authenticator.ts";
import { TrafficMeter } from "../../src/peers/traffic_meter.ts";
import { createValues } from "../fixtures/mutations.ts";
import { createNetwork, stopCreatedNetworks, waitUntil } from "./fixtures.ts";
import { ENVELOPES, GOSSIP_MESSAGES, packFrame } from "./peer_corpus.ts";

const SEED = 82;
const FRAMES = 8;
const RUNS = 150;
const DIALS = 60;
const DIAL_TIMEOUT_MS = 40;
const TEST_TIMEOUT_MS = 120_000;
const KEY = "a key of at least 16 characters";

/** Generates frames of the corpus, some of them mutated, and arbitrary bytes and strings. */
function createFrames(): fc.Arbitrary<readonly (Uint8Array | string)[]> {
  const valid = createValues(ENVELOPES).map(packFrame);
  const arbitraryFrame = fc.oneof(
    fc.uint8Array({ maxLength: 100 }),
    fc.string(),
  );
  return fc.array(fc.oneof(valid, valid, valid, arbitraryFrame), {
    minLength: 1,
    maxLength: FRAMES,
  });
}

function dial(address: string, timeoutMs: number): Promise<DialledPeer> {
  return DialledPeer.open({
    address,
    purpose: "call",
    identity: { host: "host-9", incarnation: 1 },
    authenticator: new PeerAuthenticator([KEY]),
    meter: new TrafficMeter(),
    timeoutMs,
  });
}

describe("PeerListener", { timeout: TEST_TIMEOUT_MS }, () => {
  afterEach(stopCreatedNetworks);

  it("keeps serving other links after arbitrary frames before the handshake", async () => {
    const network = createNetwork();
    const address = `127.0.0.1:${await network.start()}`;
    const link = await dial(address, TEST_TIMEOUT_MS);
    await fc.assert(
      fc.asyncProperty(createFrames(), async (frames) => {
        const socket = new WebSocket(`ws://${address}/`);
        socket.on("error", () => undefined);
        await once(socket, "open");
        frames.forEach((frame) => socket.send(frame));
        await link.sendPing();
        socket.terminate();
      }),
      { seed: SEED, numRuns: RUNS },
    );
    assert.deepEqual(network.getMembers().map(({ host }) => host), ["host-0"]);
    link.close();
  });

  it("replies to arbitrary gossip and calls or fails with a PortError, and keeps the link open", async () => {
    const network = createNetwork();
    network.register("topic", () => Promise.resolve({}));
    const link = await dial(
      `127.0.0.1:${await network.start()}`,
      TEST_TIMEOUT_MS,
    );
    const calls = createValues([["topic", {}], ["other", 1]]);
    const check = async (answer: Promise<unknown>) => {
      const error = await answer.then(() => undefined, (reason) => reason);
      assert.ok(error === undefined || error instanceof PortError);
      await link.sendPing();
    };
    await fc.assert(
      fc.asyncProperty(
        createValues(GOSSIP_MESSAGES),
        calls,
        async (message, call) => {
          await check(link.sendGossip(message));
          const [name, input] = Array.isArray(call) ? call : [call, call];
          await check(link.call(name, { input, timeoutMs: TEST_TIMEOUT_MS }));
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
    link.close();
  });
});

describe("DialledPeer.open", { timeout: TEST_TIMEOUT_MS }, () => {
  it("fails with outcome not-run for arbitrary replies to the handshake", async () => {
    const server = new WebSocketServer({ port: 0, host: "127.0.0.1" });
    await once(server, "listening");
    let frames: readonly (Uint8Array | string)[] = [];
    server.on("connection", (socket) => {
      socket.on("error", () => undefined);
      socket.on("message", () => frames.forEach((frame) => socket.send(frame)));
    });
    const { port } = server.address() as AddressInfo;
    await fc.assert(
      fc.asyncProperty(createFrames(), async (answers) => {
        frames = answers;
        await assert.rejects(dial(`127.0.0.1:${port}`, DIAL_TIMEOUT_MS), {
          outcome: "not-run",
        });
      }),
      { seed: SEED, numRuns: DIALS },
    );
    server.clients.forEach((socket) => socket.terminate());
    server.close();
    assert.ok(await waitUntil(() => server.clients.size === 0));
  });
});
