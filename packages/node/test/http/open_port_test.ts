import { SettingsError } from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { openPort } from "../../src/http/open_port.ts";

const ADDRESS = "127.0.0.1";

describe("openPort", () => {
  it("rejects with a SettingsError that names the port when the port is in use", async () => {
    const other = createServer().listen(0, ADDRESS);
    await once(other, "listening");
    const { port } = other.address() as AddressInfo;
    const opened = openPort(createServer(), { address: ADDRESS, port });
    await assert.rejects(
      opened,
      (error: Error) =>
        error instanceof SettingsError && error.message.includes(`${port}`),
    );
    other.close();
  });

  it("returns the assigned port when the configured port is 0", async () => {
    const server = createServer();
    const port = await openPort(server, { address: ADDRESS, port: 0 });
    assert.equal((server.address() as AddressInfo).port, port);
    server.close();
  });
});
