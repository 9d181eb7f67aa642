import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listUnserved } from "../../src/soak/host_cuts.ts";

const CUT = { hosts: [0, 1], fromMs: 10_000, untilMs: 16_000 };

/** Returns tries at three hosts, of which every nth is not served at the cut ones. */
function createTries(everyFailed: number) {
  return Array.from({ length: 150 }, (_, number) => ({
    host: number % 3,
    atMs: 10_000 + 40 * number,
    isServed: number % 3 === 2 || number % everyFailed !== 0,
  }));
}

describe("listUnserved", () => {
  const check = (
    title: string,
    expected: number,
    fields: Partial<Parameters<typeof listUnserved>[0]>,
  ) =>
    it(title, () => {
      const seen = { cuts: [CUT], tries: createTries(1), harms: [], ...fields };
      assert.equal(listUnserved(seen).length, expected);
    });

  check("finds cut hosts whose callers are not served", 1, {});
  check("finds none whose callers are nearly all served", 0, {
    tries: createTries(20),
  });
  check("leaves out what came before the bound", 0, {
    cuts: [{ ...CUT, untilMs: 12_900 }],
  });
  check("leaves out hosts that were killed meanwhile", 0, {
    harms: [0, 1].map((host) => ({ host, fromMs: 11_000, untilMs: 14_000 })),
  });
  check("leaves out the time in which the other host is gone", 0, {
    tries: createTries(1).filter(({ host, atMs }) => host < 2 || atMs > 15_900),
  });
  check("leaves out cuts of all hosts", 0, {
    cuts: [{ ...CUT, hosts: [0, 1, 2] }],
  });
});
