/**
 * Provides a host list that parses its endpoints from text on each request.
 * @module
 */
import {
  HostList,
  type ListedEndpoint,
} from "@briarhill/ports/hosts/host_list";
import { ENDPOINT_LIST } from "@briarhill/ports/hosts/http_host_list";

/** A host list that parses its endpoints from text on each request. */
export class TextHostList extends HostList {
  readonly #text: string;
  #readBytes = 0;

  constructor(endpoints: readonly ListedEndpoint[]) {
    super();
    this.#text = JSON.stringify({ endpoints });
  }

  override getEndpoints(): Promise<readonly ListedEndpoint[]> {
    this.#readBytes += this.#text.length;
    return Promise.resolve(
      ENDPOINT_LIST.parse(JSON.parse(this.#text)).endpoints,
    );
  }

  /** Returns the number of bytes read since the previous call, and resets it. */
  takeReadBytes(): number {
    const bytes = this.#readBytes;
    this.#readBytes = 0;
    return bytes;
  }
}
