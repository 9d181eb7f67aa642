/**
 * Makes a checkout ready to run: installs the locked packages when they are
 * missing or outdated, removes compiled files without a source, and compiles.
 * @module
 */
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, rmSync, statSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const INSTALLED_LOCK = join(ROOT, "node_modules", ".package-lock.json");

function runOrExit(command, args) {
  const result = spawnSync(command, args, { cwd: ROOT, stdio: "inherit" });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

function isInstalled() {
  const lock = join(ROOT, "package-lock.json");
  return existsSync(INSTALLED_LOCK) &&
    statSync(INSTALLED_LOCK).mtimeMs >= statSync(lock).mtimeMs;
}

function listFiles(folder) {
  if (!existsSync(folder)) {
    return [];
  }
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name));
}

/** Removes what was compiled from sources that have since been removed. */
function removeOrphans() {
  const packages = join(ROOT, "packages");
  for (const name of readdirSync(packages)) {
    const dist = join(packages, name, "dist");
    for (const file of listFiles(dist)) {
      const source = file
        .replace(dist, join(packages, name))
        .replace(/(\.d\.ts|\.js)(\.map)?$/, ".ts");
      if (source.endsWith(".ts") && !existsSync(source)) {
        rmSync(file);
      }
    }
  }
}

if (!isInstalled()) {
  runOrExit("npm", ["ci", "--no-audit", "--no-fund"]);
}
removeOrphans();
runOrExit("npx", ["--no-install", "tsc", "-b"]);
