/**
 * The platform's list of endpoints over HTTP.
 * @module
 */
import { z } from "zod";
import { HttpClient } from "../http/http_client.ts";
import type { HttpSettings } from "../http/http_settings.ts";
import { parseJson } from "../http/json.ts";
import { HostList, type ListedEndpoint } from "./host_list.ts";

/** The form of the list. */
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
}).refine(hasDistinctIds, "each endpoint once");

const OPERATION = "getEndpoints";
const STATUS_NOT_MODIFIED = 304;

/** A list, and the tag that the platform gave it. */
interface TaggedList {
  readonly tag: string;
  readonly endpoints: readonly ListedEndpoint[];
}

/**
 * The platform's list of endpoints over HTTP: `GET /endpoints`. A platform that
 * tags its answers sends a list only when it has changed.
 */
export class HttpHostList extends HostList {
  readonly #client: HttpClient;
  #newest: TaggedList | undefined;

  constructor(address: string, settings?: Partial<HttpSettings>) {
    super();
    this.#client = new HttpClient("hosts", address, settings);
  }

  override async getEndpoints(): Promise<readonly ListedEndpoint[]> {
    const known = this.#newest;
    const reply = await this.#client.sendOrThrow({
      operation: OPERATION,
      method: "GET",
      path: "/endpoints",
      ...known && {
        headers: { "if-none-match": known.tag },
        acceptedStatus: STATUS_NOT_MODIFIED,
      },
    });
    const text = await this.#client.readText(reply, OPERATION);
    if (reply.status === STATUS_NOT_MODIFIED && known !== undefined) {
      return known.endpoints;
    }
    const { endpoints } = parseJson(text, {
      schema: ENDPOINT_LIST,
      port: "hosts",
      operation: OPERATION,
    });
    const tag = reply.headers["etag"];
    this.#newest = tag === undefined ? undefined : { tag, endpoints };
    return endpoints;
  }

  /** Closes the connections. */
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
