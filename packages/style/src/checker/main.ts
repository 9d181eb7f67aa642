/**
 * Checks the style of the workspace and prints each violation.
 * @module
 */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { StyleChecker } from "./style_checker.ts";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));

const checker = new StyleChecker(ROOT);
const violations = checker.findViolations();
for (const { rule, path, line, message } of violations) {
  process.stdout.write(`${path}:${line}: ${rule}: ${message}\n`);
}
process.stdout.write(
  `style: ${violations.length} violations in ${checker.countFiles()} files\n`,
);
process.exitCode = violations.length === 0 ? 0 : 1;
