/**
 * Looks up workspaces by the digests of their keys. A look-up takes the same time
 * for any number of keys, and comparing digests discloses nothing about a key.
 * @module
 */
import type { WorkspaceStructure } from "./workspace.ts";

/** The workspaces of one version of the configuration. */
export class WorkspaceTable {
  readonly #byDigest = new Map<string, WorkspaceStructure>();
  readonly #byName = new Map<string, WorkspaceStructure>();

  constructor(workspaces: readonly WorkspaceStructure[]) {
    for (const workspace of workspaces) {
      this.#byName.set(workspace.name, workspace);
      workspace.keyDigests.forEach((digest) =>
        this.#byDigest.set(digest, workspace)
      );
    }
  }

  /** Whether the configuration has no workspaces, so that requests need no key. */
  get isEmpty(): boolean {
    return this.#byName.size === 0;
  }

  /**
   * Returns the workspace that holds a key, or undefined if none does.
   *
   * @param digest - The digest of the key.
   */
  findByDigest(digest: string): WorkspaceStructure | undefined {
    return this.#byDigest.get(digest);
  }

  /**
   * Returns a workspace, or undefined if the configuration has none of that name.
   *
   * @param name - The name of the workspace.
   */
  getWorkspace(name: string): WorkspaceStructure | undefined {
    return this.#byName.get(name);
  }
}
