/**
 * Decodes requests to the platform's interface. A request to any other path is
 * routed by the operator's configuration.
 * @module
 */
import { ITEMS_PATH, LOTS_PATH, READY_PATH } from "../names/paths.ts";

/** A call of the platform's interface, or a request that is routed by the configuration. */
export type IngressCall =
  | { readonly kind: "ready" }
  | { readonly kind: "results"; readonly lot: string; readonly after: number }
  | { readonly kind: "end"; readonly lot: string }
  | {
    readonly kind: "sample-body";
    readonly lot: string;
    readonly sample: string;
  }
  | { readonly kind: "routed" };

/**
 * Decodes a call from the method and path of a request.
 *
 * @example
 * ```ts
 * const { kind } = decodeIngressCall("GET", "/a/b");
 * ```
 * @param method - The HTTP method.
 * @param target - The path and query of the request.
 */
export function decodeIngressCall(
  method: string,
  target: string,
): IngressCall {
  const [path = "", search = ""] = target.split("?", 2);
  const query = new URLSearchParams(search);
  if (path === READY_PATH) {
    return { kind: "ready" };
  }
  if (path.startsWith(LOTS_PATH)) {
    const lot = decodeName(path.slice(LOTS_PATH.length));
    if (method === "DELETE") {
      return { kind: "end", lot };
    }
    const after = Number(query.get("after") ?? "0");
    const isValidPosition = Number.isSafeInteger(after) && after >= 0;
    return { kind: "results", lot, after: isValidPosition ? after : 0 };
  }
  if (path.startsWith(ITEMS_PATH)) {
    const lot = decodeName(path.slice(ITEMS_PATH.length));
    return { kind: "sample-body", lot, sample: query.get("id") ?? "" };
  }
  return { kind: "routed" };
}

function decodeName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    // Falls back to the raw text, as a malformed escape cannot name a lot.
    return text;
  }
}
