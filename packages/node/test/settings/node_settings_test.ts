import { SettingsError } from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseNodeSettings } from "../../src/settings/node_settings.ts";

function createText(edit: (text: string) => string = (text) => text): string {
  return edit(`[node]
host = entry-1
region = bogota
failure_domain = bogota-a
callers = 127.0.0.1:8080
peers = 127.0.0.1:9080
admin = 127.0.0.1:9180
[platform]
log = http://127.0.0.1:7001
host_list = http://127.0.0.1:7002
weight_store = http://127.0.0.1:7003
[peers]
seeds[] = 127.0.0.1:9081
keys[] = a-key-of-sixteen-characters
`);
}

describe("parseNodeSettings", () => {
  it("reads all sections and applies the defaults of a missing one", () => {
    const settings = parseNodeSettings("node.ini", createText());
    assert.deepEqual(settings.callers, { address: "127.0.0.1", port: 8080 });
    assert.equal(settings.stopTimeoutMs, 30_000);
    assert.deepEqual(settings.seeds, ["127.0.0.1:9081"]);
  });

  function doFaultTest(
    edit: (text: string) => string,
    expected: readonly string[],
  ): void {
    assert.throws(
      () => parseNodeSettings("node.ini", createText(edit)),
      (error: unknown) =>
        error instanceof SettingsError &&
        expected.every((part) => error.message.includes(part)),
    );
  }

  it("rejects invalid settings with file, line, section, key, value and the expected form", () => {
    doFaultTest((text) => text.replace("127.0.0.1:8080", "localhost"), [
      "node.ini:5",
      "[node] callers",
      '"localhost"',
      "expected an IP address and a port",
    ]);
    doFaultTest((text) => text.replace("host = entry-1\n", ""), [
      "[node] host is missing",
    ]);
    doFaultTest((text) => text.replace("a-key-of-sixteen-characters", "x"), [
      "[peers] keys",
      "at least 16 characters",
    ]);
    doFaultTest((text) => text + "[stop]\nbound = 1\n", ["[stop] bound"]);
    doFaultTest((text) => text + "[other]\n", ["node.ini:15", "other"]);
  });
});
