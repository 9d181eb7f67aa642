import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { InputError } from "../../src/errors/errors.ts";
import { Logger, setLogWriter } from "../../src/logging/logger.ts";

describe("Logger", () => {
  it("writes one JSON line per event, including the context of parent loggers", () => {
    const lines: string[] = [];
    setLogWriter((line) => lines.push(line));
    const logger = Logger.create({ host: "a" }).createChild({ part: "p" });
    logger.info("started", { port: 1 });
    logger.error("failed", new InputError("no such thing"));
    const contexts = lines.map((line) => JSON.parse(line).context);
    assert.equal(contexts[0].event, "started");
    assert.equal(contexts[0].host, "a");
    assert.equal(contexts[0].part, "p");
    assert.equal(contexts[0].port, 1);
    assert.equal(contexts[1].errorName, "InputError");
    assert.equal(contexts[1].errorMessage, "no such thing");
  });
});
