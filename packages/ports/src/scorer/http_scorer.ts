/**
 * Implements the scorer port over HTTP. A score of another sample must be
 * rejected.
 * @module
 */
import { z } from "zod";
import { HttpClient } from "../http/http_client.ts";
import type { HttpSettings } from "../http/http_settings.ts";
import { type Score, Scorer, type ScoreRequest } from "./scorer.ts";

/** Scores samples with `POST /score`. */
export class HttpScorer extends Scorer {
  readonly #client: HttpClient;

  constructor(address: string, settings?: Partial<HttpSettings>) {
    super();
    this.#client = new HttpClient("scorer", address, settings);
  }

  override score(request: ScoreRequest, signal?: AbortSignal): Promise<Score> {
    return this.#client.fetchJson({
      operation: "score",
      method: "POST",
      path: "/score",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(request),
      signal,
    }, createScoreSchema(request));
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#client.close();
  }
}

function createScoreSchema(request: ScoreRequest): z.ZodType<Score> {
  return z.object({
    sampleId: z.literal(request.sampleId),
    score: z.number(),
  });
}
