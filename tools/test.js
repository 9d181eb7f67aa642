/**
 * Runs all tests of the workspace by node:test; arguments select test files
 * by a part of their path. Files named `*_crowd_test` run after the others, one
 * at a time, as each of them fills a host with many connections.
 * @module
 */
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const PACKAGES = fileURLToPath(new URL("../packages", import.meta.url));
const RUN_BOUND_MS = 900_000;
/** A file that runs longer is named and fails; the others run on. */
const FILE_BOUND_MS = 300_000;
const selectors = process.argv.slice(2);

function listTests() {
  return readdirSync(PACKAGES, { recursive: true, encoding: "utf8" })
    .filter((path) => /^[^/]+\/dist\/test\/.*_test\.js$/.test(path))
    .filter((path) =>
      selectors.length === 0 ||
      selectors.some((selector) => path.includes(selector))
    )
    .map((path) => join(PACKAGES, path))
    .sort();
}

/** Runs test files and returns the exit status. */
function runTests(files, options) {
  if (files.length === 0) {
    return 0;
  }
  const result = spawnSync(
    process.execPath,
    [
      "--test",
      "--test-reporter=spec",
      `--test-timeout=${FILE_BOUND_MS}`,
      ...options,
      ...files,
    ],
    { stdio: "inherit", timeout: RUN_BOUND_MS },
  );
  if (result.error !== undefined) {
    process.stderr.write(`the tests did not end: ${result.error.message}\n`);
  }
  return result.status ?? 1;
}

const files = listTests();
if (files.length === 0) {
  process.stderr.write("no test file matches\n");
  process.exit(1);
}
const isCrowd = (path) => path.endsWith("_crowd_test.js");
const statuses = [
  runTests(files.filter((path) => !isCrowd(path)), []),
  runTests(files.filter(isCrowd), ["--test-concurrency=1"]),
];
process.exit(Math.max(...statuses));
