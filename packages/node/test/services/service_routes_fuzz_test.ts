import fc from "fast-check";
import { after, before, describe, it } from "node:test";
import { RoutesBench, SERVICE } from "../fixtures/routes_bench.ts";

const SEED = 72;
const RUNS = 300;
const TEST_TIMEOUT_MS = 120_000;
const MAX_BODY_BYTES = 2000;
const METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"];
const SEGMENTS = ["entries", "..", "%2e%2e", ".", "", "%00", "%ff", "a b", "ñ"];
const HEADERS = [
  "idempotency-key",
  "briarhill-non-idempotent",
  "content-type",
  "x-forwarded-for",
  "expect",
];
const VALUES = ["k1", "true", "", "x".repeat(300), "100-continue", "a, b"];

/** Generates paths of the service and of other services, some with invalid escapes. */
function createPaths(): fc.Arbitrary<string> {
  const segments = fc.array(fc.constantFrom(...SEGMENTS), { maxLength: 4 });
  const query = fc.webQueryParameters();
  const names = fc.constantFrom(SERVICE, SERVICE, SERVICE, "other", "%zz", "");
  return fc.tuple(names, segments, query).map(([name, parts, text]) =>
    `/services/${name}/${parts.join("/")}?${text}`.replaceAll(/[^!-~]/g, "_")
  );
}

describe("ServiceRoutes", { timeout: TEST_TIMEOUT_MS }, () => {
  let bench: RoutesBench;
  before(async () => {
    bench = new RoutesBench();
    await bench.start();
  });
  after(() => bench.stop());

  it("responds to any call, and states the true outcome in each error", async () => {
    const arbitraryRequest = fc.record({
      method: fc.constantFrom(...METHODS),
      path: createPaths(),
      headers: fc.dictionary(
        fc.constantFrom(...HEADERS.slice(0, -1)),
        fc.constantFrom(...VALUES),
      ),
      body: fc.uint8Array({ maxLength: MAX_BODY_BYTES }),
    });
    await fc.assert(
      fc.asyncProperty(
        arbitraryRequest,
        (sent) => bench.sendAndCheckOutcome(sent),
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
