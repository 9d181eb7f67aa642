/**
 * Implements the port to the platform's list of endpoints over HTTP.
 * @module
 */
import { z } from "zod";
import { HttpClient } from "../http/http_client.ts";
import type { HttpSettings } from "../http/http_settings.ts";
import { parseJson } from "../http/json.ts";
import { HostList, type ListedEndpoint } from "./host_list.ts";

/** The schema of the list. */
export const ENDPOINT_LIST: z.ZodType<{
  readonly endpoints: readonly ListedEndpoint[];
}> = z.object({
  endpoints: z.array(z.object({
    id: z.string().min(1),
    kind: z.enum(["engine", "service"]),
    address: z.url({ protocol: /^https?$/ }),
    failureDomain: z.string(),
    region: z.string(),
    incarnation: z.number().int().min(0),
    state: z.enum(["live", "leaving"]),
    models: z.array(z.string()),
    service: z.string(),
    checksFencing: z.boolean(),
  })),
}).refine(hasDistinctIds, "endpoint ids must be distinct");

const OPERATION = "getEndpoints";
const STATUS_NOT_MODIFIED = 304;

/** A list and its entity tag (ETag). */
interface TaggedList {
  readonly tag: string;
  readonly endpoints: readonly ListedEndpoint[];
}

/**
 * Fetches the platform's list of endpoints with `GET /endpoints`. A platform
 * that sends an ETag resends the list only after a change.
 */
export class HttpHostList extends HostList {
  readonly #client: HttpClient;
  #latest: TaggedList | undefined;

  constructor(address: string, settings?: Partial<HttpSettings>) {
    super();
    this.#client = new HttpClient("hosts", address, settings);
  }

  override async getEndpoints(): Promise<readonly ListedEndpoint[]> {
    const cached = this.#latest;
    const response = await this.#client.sendOrThrow({
      operation: OPERATION,
      method: "GET",
      path: "/endpoints",
      ...cached && {
        headers: { "if-none-match": cached.tag },
        acceptedStatus: STATUS_NOT_MODIFIED,
      },
    });
    const text = await this.#client.readText(response, OPERATION);
    if (response.status === STATUS_NOT_MODIFIED && cached !== undefined) {
      return cached.endpoints;
    }
    const { endpoints } = parseJson(text, {
      schema: ENDPOINT_LIST,
      port: "hosts",
      operation: OPERATION,
    });
    const tag = response.headers["etag"];
    this.#latest = tag === undefined ? undefined : { tag, endpoints };
    return endpoints;
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#client.close();
  }
}

function hasDistinctIds(
  list: { readonly endpoints: readonly ListedEndpoint[] },
): boolean {
  const ids = new Set(list.endpoints.map((endpoint) => endpoint.id));
  return ids.size === list.endpoints.length;
}
