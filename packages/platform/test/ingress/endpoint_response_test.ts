import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeEndpointResponse } from "../../src/ingress/endpoint_response.ts";

describe("decodeEndpointResponse", () => {
  function checkLimit(
    value: string | undefined,
    expected: { readonly kind: string; readonly ratePerS?: number },
  ): void {
    const headers = value === undefined ? {} : { "server-limit": value };
    const { limit } = decodeEndpointResponse({ status: 200, headers });
    const { kind } = limit;
    const found = limit.kind === "rate"
      ? { kind, ratePerS: limit.ratePerS }
      : { kind };
    assert.deepEqual(found, expected);
  }

  it("decodes the limit of the endpoint", () => {
    checkLimit(undefined, { kind: "none" });
    checkLimit("6.7", { kind: "rate", ratePerS: 6.7 });
    checkLimit("0", { kind: "rate", ratePerS: 0 });
    checkLimit(" 12 ", { kind: "rate", ratePerS: 12 });
  });

  it("reports a limit that is no rate as invalid", () => {
    for (
      const value of [
        "",
        "-1",
        "soon",
        "1e3",
        "NaN",
        "Infinity",
        "1, 2",
        "9".repeat(400),
      ]
    ) {
      checkLimit(value, { kind: "invalid" });
    }
  });
});
