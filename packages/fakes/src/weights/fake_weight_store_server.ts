/**
 * The stand-in weight store over HTTP.
 * @module
 */
import { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { FakeServer } from "../http/fake_server.ts";
import type { FakeWeightStore } from "./fake_weight_store.ts";

const ADDED = z.object({ version: z.number().int().min(0) });

/** The stand-in weight store over HTTP; trainers add versions by `POST /models/NAME/versions`. */
export class FakeWeightStoreServer extends FakeServer {
  readonly #store: FakeWeightStore;

  constructor(store: FakeWeightStore, port = 0) {
    super(store.faults, port);
    this.#store = store;
  }

  protected override getOperation(exchange: Exchange): string {
    return exchange.isFor("GET /limits") ? "getLimits" : "getVersions";
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    if (exchange.isFor("GET /limits")) {
      return exchange.sendJson(200, await this.#store.getLimits());
    }
    const [root, model, leaf] = exchange.path;
    if (root !== "models" || model === undefined || leaf !== "versions") {
      return exchange.sendJson(404, { title: "no such path" });
    }
    if (exchange.method === "POST") {
      const { version } = await exchange.readJson(ADDED);
      this.#store.addVersion(model, version);
    }
    const versions = await this.#store.getVersions(model);
    exchange.sendJson(200, { versions });
  }
}
