/**
 * Implements the port to the platform's weight store over HTTP. A list of
 * versions that does not ascend must be rejected.
 * @module
 */
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";
import { z } from "zod";
import { HttpClient } from "../http/http_client.ts";
import type { HttpSettings } from "../http/http_settings.ts";
import { WeightStore, type WeightStoreLimits } from "./weight_store.ts";

const VERSIONS = z.object({
  versions: z.array(z.number().int().min(0)).refine(
    (versions) =>
      versions.every((version, index) =>
        index === 0 || version > (versions[index - 1] ?? version)
      ),
    "versions must be in ascending order",
  ),
});
const LIMITS = z.object({ fetchesPerSecond: z.number().positive() });

/** Calls the platform's weight store over HTTP. */
export class HttpWeightStore extends WeightStore {
  readonly #client: HttpClient;

  constructor(address: string, settings?: Partial<HttpSettings>) {
    super();
    this.#client = new HttpClient("weights", address, settings);
  }

  override async getVersions(
    model: ModelName,
  ): Promise<readonly WeightVersion[]> {
    const { versions } = await this.#client.fetchJson({
      operation: "getVersions",
      method: "GET",
      path: `/models/${encodeURIComponent(model)}/versions`,
    }, VERSIONS);
    return versions;
  }

  override getLimits(): Promise<WeightStoreLimits> {
    return this.#client.fetchJson({
      operation: "getLimits",
      method: "GET",
      path: "/limits",
    }, LIMITS);
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#client.close();
  }
}
