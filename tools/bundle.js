/**
 * Bundles the process for the users' platform into target/, from the sources.
 * @module
 */
import { build } from "esbuild";
import { existsSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const PACKAGE_IMPORT = /^@briarhill\/([a-z]+)\/(.+)$/;

/** Resolves packages of the workspace to their sources, so that nothing has to be compiled first. */
const workspaceSources = {
  name: "workspace-sources",
  setup(bundler) {
    bundler.onResolve({ filter: PACKAGE_IMPORT }, ({ path }) => {
      const [, name, file] = PACKAGE_IMPORT.exec(path);
      const source = join(ROOT, "packages", name, "src", `${file}.ts`);
      return existsSync(source)
        ? { path: source }
        : { errors: [{ text: `no source "${source}"` }] };
    });
  },
};

await build({
  absWorkingDir: ROOT,
  entryPoints: { briarhilld: "packages/edge/src/node/main.ts" },
  outdir: "target",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: process.env.BUNDLE_PLAIN === undefined,
  keepNames: true,
  legalComments: "none",
  // The workspace is a module by default; this bundle is not.
  outExtension: { ".js": ".cjs" },
  plugins: [workspaceSources],
  logLevel: "warning",
});
