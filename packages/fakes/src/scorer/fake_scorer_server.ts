/**
 * The stand-in scoring service over HTTP.
 * @module
 */
import { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { FakeServer } from "../http/fake_server.ts";
import type { FakeScorer } from "./fake_scorer.ts";

const SCORE_REQUEST = z.object({
  sampleId: z.string(),
  prompt: z.string(),
  text: z.string(),
});

/** The stand-in scoring service over HTTP: `POST /score`. */
export class FakeScorerServer extends FakeServer {
  readonly #scorer: FakeScorer;

  constructor(scorer: FakeScorer, port = 0) {
    super(scorer.faults, port);
    this.#scorer = scorer;
  }

  protected override getOperation(): string {
    return "score";
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    if (!exchange.isFor("POST /score")) {
      return exchange.sendJson(404, { title: "no such path" });
    }
    const request = await exchange.readJson(SCORE_REQUEST);
    exchange.sendJson(200, await this.#scorer.score(request));
  }
}
