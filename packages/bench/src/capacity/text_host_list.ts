/**
 * A list of endpoints that is parsed from text at each question.
 * @module
 */
import {
  HostList,
  type ListedEndpoint,
} from "@briarhill/ports/hosts/host_list";
import { ENDPOINT_LIST } from "@briarhill/ports/hosts/http_host_list";

/** A list of endpoints that is parsed from text at each question. */
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

  /** Returns the bytes that were read since the last question. */
  takeReadBytes(): number {
    const bytes = this.#readBytes;
    this.#readBytes = 0;
    return bytes;
  }
}
