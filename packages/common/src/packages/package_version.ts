/**
 * Reads the version of an installed package.
 * @module
 */
import { readFileSync } from "node:fs";
import { z } from "zod";

const PACKAGE = z.object({ version: z.string().min(1) });

/**
 * Returns the version in a `package.json` file.
 *
 * @example
 * ```ts
 * const version = readPackageVersion(new URL("file:///srv/briarhill/package.json"));
 * ```
 * @param file - The URL of the `package.json` file.
 */
export function readPackageVersion(file: URL): string {
  return PACKAGE.parse(JSON.parse(readFileSync(file, "utf8"))).version;
}
