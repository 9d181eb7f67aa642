import { readPackageVersion } from "@briarhill/common/packages/package_version";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const ROOT = new URL("../../../../../", import.meta.url);
const INVALID_SETTINGS_FILE = fileURLToPath(
  new URL("examples/platform.ini", ROOT),
);
const SETTINGS_ERROR_EXIT_CODE = 2;
const USAGE_ERROR_EXIT_CODE = 1;

function runCommand(path: string, args: readonly string[]) {
  const file = fileURLToPath(new URL(path, ROOT));
  return spawnSync(process.execPath, [file, ...args], { encoding: "utf8" });
}

describe("command-line programs", () => {
  function doTest(name: string, folder: string): void {
    const { stdout, status } = runCommand(
      `packages/${folder}/bin/${name}.js`,
      ["--version"],
    );
    const file = new URL(`packages/${folder}/package.json`, ROOT);
    assert.equal(stdout, `${readPackageVersion(file)}\n`);
    assert.equal(status, 0);
  }

  it("print the version of their package with --version", () => {
    doTest("briarhilld", "node");
    doTest("briarhill", "cli");
  });
});

describe("briarhilld", () => {
  it("exits before listening, with code 2 for invalid settings and 1 for invalid usage", () => {
    const command = "packages/node/bin/briarhilld.js";
    const { status, stderr } = runCommand(command, [
      "--config",
      INVALID_SETTINGS_FILE,
    ]);
    assert.equal(status, SETTINGS_ERROR_EXIT_CODE);
    assert.match(stderr, /platform\.ini/);
    assert.equal(runCommand(command, []).status, USAGE_ERROR_EXIT_CODE);
  });
});
