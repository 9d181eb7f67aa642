import fc from "fast-check";
import { after, before, describe, it } from "node:test";
import { RoutesBench } from "../fixtures/routes_bench.ts";

const SEED = 74;
const RUNS = 300;
const TEST_TIMEOUT_MS = 60_000;
const PATHS = [
  "/livez",
  "/metrics",
  "/histograms",
  "/control/status",
  "/control/configuration",
  "/control",
  "//",
  "/%zz",
];
const METHODS = ["GET", "POST", "DELETE", "HEAD", "OPTIONS"];

describe("AdminRoutes and StatusRoutes", { timeout: TEST_TIMEOUT_MS }, () => {
  let bench: RoutesBench;
  before(async () => {
    bench = new RoutesBench();
    await bench.start();
  });
  after(() => bench.stop());

  it("respond to any request without an internal error and report rejected ones as not run", async () => {
    const arbitraryRequest = fc.record({
      method: fc.constantFrom(...METHODS),
      path: fc.tuple(fc.constantFrom(...PATHS), fc.webQueryParameters()).map((
        [path, query],
      ) => `${path}?${query}`),
      body: fc.uint8Array({ maxLength: 200 }),
    });
    await fc.assert(
      fc.asyncProperty(arbitraryRequest, async (sent) => {
        await bench.sendAndCheckOutcome(sent);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
