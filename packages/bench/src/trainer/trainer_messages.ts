/**
 * Defines the messages between a trainer and the service.
 * @module
 */
import { z } from "zod";

/** The wire format of a sample. */
export const SAMPLE = z.object({
  position: z.number().int(),
  sampleId: z.string(),
  groupId: z.string(),
  text: z.string(),
  spans: z.array(z.object({
    fromToken: z.number().int(),
    toToken: z.number().int(),
    version: z.number().int(),
  })),
});

/** The wire format of the response to a pull. */
export const PULL_REPLY = z.object({
  samples: z.array(SAMPLE),
  next: z.number().int(),
  whole: z.boolean(),
});

/** The lot that a trainer requests for one step. */
export interface LotRequest {
  readonly id: string;
  readonly step: number;
  readonly model: string;
  readonly groups: number;
  readonly samplesPerGroup: number;
  readonly maxTokens: number;
}

/**
 * Builds the request body that submits a lot.
 *
 * @example
 * ```ts
 * const text = JSON.stringify(buildLotBody(lot));
 * ```
 * @param lot - The lot to submit.
 */
export function buildLotBody(lot: LotRequest): unknown {
  return {
    step: lot.step,
    model: lot.model,
    groups: Array.from({ length: lot.groups }, (_, index) => ({
      id: `group-${index}`,
      prompt: `step ${lot.step}, prompt ${index}: `,
    })),
    samplesPerGroup: lot.samplesPerGroup,
    sampling: { maxTokens: lot.maxTokens },
  };
}
