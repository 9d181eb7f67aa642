import assert from "node:assert/strict";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import { ConnectionHistory } from "../../src/http/connection_history.ts";

/** Returns whether a request is ambiguous on a connection that has carried these. */
function isAmbiguousAfter(
  earlier: readonly (string | undefined)[],
  exchangeId: string | undefined,
): boolean {
  const history = new ConnectionHistory();
  const socket = new Socket();
  earlier.forEach((id) => history.addExchange(socket, id));
  history.setIdle(socket);
  return history.isAmbiguous(socket, exchangeId);
}

describe("ConnectionHistory.isAmbiguous", () => {
  const many = Array.from({ length: 200 }, (_, index) => `m${index}`);
  const cases: readonly (readonly [
    string,
    readonly (string | undefined)[],
    string | undefined,
    boolean,
  ])[] = [
    ["any request on a new connection", [], undefined, false],
    ["another identified request", ["a"], "b", false],
    ["the same request again", ["a"], "a", true],
    ["the same request after another one", ["a", "b"], "a", true],
    [
      "an unidentified request after an identified one",
      ["a"],
      undefined,
      false,
    ],
    ["an unidentified request after another one", [undefined], undefined, true],
    [
      "an unidentified request after an identified one that followed another one",
      [undefined, "a"],
      undefined,
      false,
    ],
    ["a recent request among many", many, "m199", true],
  ];

  for (const [name, earlier, exchangeId, expected] of cases) {
    it(`is ${expected} for ${name}`, () => {
      assert.equal(isAmbiguousAfter(earlier, exchangeId), expected);
    });
  }

  it("is true on a connection on which bytes have arrived while it was idle", () => {
    const history = new ConnectionHistory();
    const socket = new Socket();
    history.addExchange(socket, "a");
    history.setIdle(socket);
    Object.defineProperty(socket, "bytesRead", { value: 7 });
    assert.equal(history.isAmbiguous(socket, "b"), true);
  });
});
