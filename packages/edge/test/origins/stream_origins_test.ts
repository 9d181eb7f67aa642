import { ClientStream } from "@briarhill/fakes/platform/client_stream";
import { ENDPOINT_TOPIC } from "@briarhill/platform/names/topics";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const HOSTS = 3;
const STREAMS = 24;
const DEADLINE_MS = 5_000;
/** Far below the deadline; a busy machine delays timers. */
const AT_ONCE_MS = 1_500;
/** The time in which hosts learn of changed endpoints, in milliseconds. */
const LEARN_MS = 1_000;
/** Events that a client receives before it breaks its stream off. */
const FIRST_EVENTS = 3;

/**
 * Two software versions of a service write texts that don't fit together. A host that
 * does not know which version began a stream lets it go on at any endpoint.
 */
describe("EntryHost with endpoints of two software versions", () => {
  const platform = new PlatformFixture(23_100);
  before(async () => {
    await platform.startHosts(HOSTS);
    await platform.waitFor(async () => {
      const [probe] = await beginStreams("probe", 1);
      return probe?.hasBegun === true;
    });
    const [, newer] = platform.engines;
    assert.ok(newer !== undefined);
    newer.softwareVersion = "v2";
    newer.startIncarnation();
    await sleep(LEARN_MS);
  });
  after(() => platform.stopHosts());

  function readAt(stream: ClientStream, host: number, maxEvents?: number) {
    const address = platform.getAddress(host % HOSTS);
    return stream.readEvents(address, maxEvents);
  }

  /** Begins streams at all hosts and breaks them off. */
  async function beginStreams(
    name: string,
    count = STREAMS,
  ): Promise<readonly ClientStream[]> {
    const streams = Array.from(
      { length: count },
      (_, index) =>
        new ClientStream({ id: `${name}-${index}`, deadlineMs: DEADLINE_MS }),
    );
    await Promise.all(streams.map(async (stream, index) => {
      await sleep(index * 10);
      await readAt(stream, index, FIRST_EVENTS);
    }));
    return streams;
  }

  function checkVersions(streams: readonly ClientStream[]): void {
    const mixed = streams.filter(({ versions }) => versions.length > 1);
    assert.deepEqual(mixed.map(({ text }) => text), []);
  }

  /** Takes streams up twice, at two other hosts, until their end. */
  async function finishStreams(
    streams: readonly ClientStream[],
  ): Promise<number> {
    await Promise.all(streams.map(async (stream, index) => {
      await readAt(stream, index + 1, 1);
      await readAt(stream, index + 2);
    }));
    checkVersions(streams);
    return streams.filter(({ isComplete }) => isComplete).length;
  }

  it("lets streams go on only at the version that began them, at any host", async () => {
    const streams = await beginStreams("mixed");
    const versions = new Set(streams.flatMap((stream) => stream.versions));
    assert.deepEqual([...versions].sort(), ["v1", "v2"]);
    const complete = await finishStreams(streams);
    assert.ok(complete >= 0.8 * STREAMS, `${complete} of ${STREAMS} went on`);
  });

  it("does so after all hosts have lost power", async () => {
    const streams = await beginStreams("power");
    await platform.restartHosts();
    const complete = await finishStreams(streams);
    assert.ok(complete >= 0.8 * STREAMS, `${complete} of ${STREAMS} went on`);
  });

  it("rejects streams at once while the store is away and nothing tells who began them", async () => {
    const streams = await beginStreams("away");
    platform.store.setBehavior("busy");
    await sleep(2 * LEARN_MS);
    const startMs = Date.now();
    const tries = await Promise.all(
      streams.map((stream, index) => readAt(stream, index + 1)),
    );
    const tookMs = Date.now() - startMs;
    platform.store.setBehavior("well");
    checkVersions(streams);
    for (const { status } of tries) {
      assert.ok(status === 200 || status === 503, `${status}`);
    }
    assert.ok(tries.some(({ status }) => status === 503));
    assert.ok(tookMs < AT_ONCE_MS, `${tookMs} ms`);
    await sleep(LEARN_MS);
    await finishStreams(streams);
  });

  it("rejects streams at once whose version is gone, and serves new ones", async () => {
    const streams = await beginStreams("gone");
    const [older] = platform.engines;
    assert.ok(older !== undefined);
    older.softwareVersion = "v2";
    older.startIncarnation();
    platform.store.publish(
      ENDPOINT_TOPIC,
      older.options.id,
      older.createEntry(),
    );
    await sleep(LEARN_MS);
    const begunByOld = streams.filter(({ versions }) => versions[0] === "v1");
    assert.ok(begunByOld.length > 0);
    const tries = await Promise.all(
      begunByOld.map((stream, index) => readAt(stream, index + 1)),
    );
    assert.deepEqual(tries.filter(({ status }) => status !== 503), []);
    await finishStreams(streams);
    const fresh = await beginStreams("fresh");
    assert.equal(fresh.filter(({ hasBegun }) => hasBegun).length, STREAMS);
  });
});

const CUT_HOST = 2;
/** Shorter than the age up to which a host once used its list of versions without another read. */
const CUT_FOR_MS = 900;
/** So many that endpoints of both versions are used. */
const CONCURRENT_STREAMS = 8;
/** The time in which the other hosts read the new entry; one that is younger than their list is another fault. */
const LISTED_MS = 450;

describe("EntryHost that is cut off while a software version joins", () => {
  const platform = new PlatformFixture(23_500);
  before(async () => {
    await platform.startHosts(HOSTS);
    const probe = new ClientStream({ id: "probe", deadlineMs: DEADLINE_MS });
    await platform.waitFor(async () => {
      await probe.readEvents(platform.getAddress(CUT_HOST));
      return probe.hasBegun;
    });
  });
  after(async () => {
    platform.store.setBehavior("well", platform.getIp(CUT_HOST));
    await platform.stopHosts();
  });

  /** A host that had not heard of a new version let streams of that version go on at the old one. */
  it("lets no stream of that version go on at another one", async () => {
    const [, newer] = platform.engines;
    assert.ok(newer !== undefined);
    platform.store.setBehavior("silent", platform.getIp(CUT_HOST));
    const endMs = Date.now() + CUT_FOR_MS;
    newer.softwareVersion = "v2";
    newer.startIncarnation();
    platform.store.publish(
      ENDPOINT_TOPIC,
      newer.options.id,
      newer.createEntry(),
    );
    await sleep(LISTED_MS);
    const streams: ClientStream[] = [];
    const resumptions: Promise<unknown>[] = [];
    while (Date.now() < endMs) {
      const begun = Array.from({ length: CONCURRENT_STREAMS }, (_, index) => {
        const id = `cut-${streams.length + index}`;
        return new ClientStream({ id, deadlineMs: DEADLINE_MS });
      });
      streams.push(...begun);
      await Promise.all(
        begun.map((stream) => stream.readEvents(platform.getAddress(0), 1)),
      );
      resumptions.push(
        ...begun.map((stream) =>
          stream.readEvents(platform.getAddress(CUT_HOST))
        ),
      );
    }
    await Promise.all(resumptions);
    assert.ok(streams.some(({ versions }) => versions.includes("v2")));
    const mixed = streams.filter(({ versions }) => versions.length > 1);
    assert.deepEqual(mixed.map(({ id }) => id), []);
  });
});
