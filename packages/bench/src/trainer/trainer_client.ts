/**
 * Implements the client of a trainer, which submits lots, pulls samples and
 * records them.
 * @module
 */
import {
  InputError,
  NotFoundError,
  PortError,
} from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import { request } from "undici";
import type { z } from "zod";
import {
  buildLotBody,
  type LotRequest,
  PULL_REPLY,
  type SAMPLE,
} from "./trainer_messages.ts";

const PULL_WAIT_MS = 2000;
const PULL_LIMIT = 64;
const RETRY_INTERVAL_MS = 100;
const MAX_RESUBMISSIONS = 100;
/** Abandons a request to a node that sends nothing, such as a paused one. */
const RECEIVE_TIMEOUT_MS = 10_000;
/** The prefix of a pull response that contains samples. */
const SAMPLES_PREFIX = '{"samples":[{';

/** A sample as the trainer received it. */
export type ReceivedSample = z.output<typeof SAMPLE> & {
  /** The newest version that the trainer had announced on receipt. */
  readonly newestVersion: number;
};

/** A submitted lot, and the time at which its step started. */
export interface SubmittedLot {
  readonly lot: LotRequest;
  readonly startMs: number;
}

/** The samples and times that a trainer recorded in one step. */
export interface StepRecord {
  readonly samples: readonly ReceivedSample[];
  readonly stepMs: number;
  /** The time during which the trainer waited for samples. */
  readonly idleMs: number;
}

/** Options of {@link TrainerClient}. */
export interface TrainerOptions {
  /** Caller addresses of the nodes; a failed call is retried at the next. */
  readonly addresses: readonly string[];
  readonly key: string;
  readonly clock: Clock;
  /** Called with the address that sent the first chunk of a samples response. */
  readonly onSamplesPart?: ((address: string) => void) | undefined;
}

/** The client of a trainer: submits lots, pulls samples and records them. */
export class TrainerClient {
  readonly #options: TrainerOptions;
  #address = 0;
  #newestVersion = 0;

  constructor(options: TrainerOptions) {
    this.#options = options;
  }

  /**
   * Announces a version of weights.
   *
   * @param model - The model.
   * @param version - The version.
   */
  async announce(model: string, version: number): Promise<void> {
    await this.#call("POST", `/v1/rollouts/models/${model}/versions`, {
      version,
    });
    this.#newestVersion = version;
  }

  /**
   * Submits a lot and pulls until it is complete.
   *
   * @param lot - The lot to submit.
   * @param onPull - Called after each pull with all samples received so far.
   */
  async runStep(
    lot: LotRequest,
    onPull?: (received: readonly ReceivedSample[]) => Promise<void>,
  ): Promise<StepRecord> {
    return await this.pullStep(await this.sendLot(lot), onPull);
  }

  /**
   * Submits a lot.
   *
   * @param lot - The lot to submit.
   */
  async sendLot(lot: LotRequest): Promise<SubmittedLot> {
    const startMs = this.#options.clock.getMonotonicMs();
    await this.#call("PUT", `/v1/rollouts/lots/${lot.id}`, buildLotBody(lot));
    return { lot, startMs };
  }

  /**
   * Pulls the samples of a lot until it is complete.
   *
   * @param submitted - The submitted lot.
   * @param onPull - Called after each pull with all samples received so far.
   */
  async pullStep(
    { lot, startMs }: SubmittedLot,
    onPull: (received: readonly ReceivedSample[]) => Promise<void> =
      async () => {},
  ): Promise<StepRecord> {
    const { clock } = this.#options;
    const samples: ReceivedSample[] = [];
    let idleMs = 0;
    for (let isComplete = false; !isComplete;) {
      const pullMs = clock.getMonotonicMs();
      const reply = await this.#pullOrResubmit(lot, samples.length);
      idleMs += clock.getMonotonicMs() - pullMs;
      samples.push(...reply.samples);
      isComplete = reply.whole;
      await onPull(samples);
    }
    return { samples, idleMs, stepMs: clock.getMonotonicMs() - startMs };
  }

  /** Submits a lot again if the hosts that held it are gone. */
  async #pullOrResubmit(
    lot: LotRequest,
    cursor: number,
  ): ReturnType<TrainerClient["pull"]> {
    for (let resubmissions = 0;; resubmissions++) {
      try {
        return await this.pull(lot.id, cursor);
      } catch (error) {
        if (
          !(error instanceof NotFoundError) ||
          resubmissions >= MAX_RESUBMISSIONS
        ) {
          throw error;
        }
        await this.#options.clock.sleep(RETRY_INTERVAL_MS);
        await this.sendLot(lot);
      }
    }
  }

  /**
   * Pulls samples once.
   *
   * @param lotId - The id of the lot.
   * @param cursor - The first position to return.
   */
  async pull(
    lotId: string,
    cursor: number,
  ): Promise<
    { readonly samples: readonly ReceivedSample[]; readonly whole: boolean }
  > {
    const query =
      `cursor=${cursor}&limit=${PULL_LIMIT}&wait_ms=${PULL_WAIT_MS}`;
    const path = `/v1/rollouts/lots/${lotId}/samples?${query}`;
    const reply = PULL_REPLY.parse(await this.#call("GET", path));
    const newestVersion = this.#newestVersion;
    return {
      samples: reply.samples.map((sample) => ({ ...sample, newestVersion })),
      whole: reply.whole,
    };
  }

  /** Calls the nodes in turn until one responds with success. */
  async #call(method: string, path: string, body?: unknown): Promise<unknown> {
    const { addresses, clock } = this.#options;
    const attempts = addresses.length * 100;
    let lastFailure = "";
    for (let attempt = 0; attempt < attempts; attempt++) {
      const address = addresses[this.#address % addresses.length] ?? "";
      const reply = await this.#callOnce(method, { address, path }, body);
      if (reply.status >= 200 && reply.status < 300) {
        return JSON.parse(reply.text);
      }
      if (reply.status === 404) {
        throw new NotFoundError(`${method} ${path}: ${reply.text}`);
      }
      if (reply.status === 400 || reply.status === 403) {
        throw new InputError(`${method} ${path} was refused: ${reply.text}`);
      }
      lastFailure = `${address} ${reply.status} ${reply.text}`;
      this.#address++;
      await clock.sleep(RETRY_INTERVAL_MS);
    }
    throw new PortError(
      `${method} ${path} failed ${attempts} times: ${lastFailure}`,
      {
        props: { port: "briarhill", operation: method },
      },
    );
  }

  async #callOnce(
    method: string,
    { address, path }: { readonly address: string; readonly path: string },
    body: unknown,
  ): Promise<{ readonly status: number; readonly text: string }> {
    try {
      const reply = await request(address + path, {
        method: method as "GET",
        headersTimeout: RECEIVE_TIMEOUT_MS,
        bodyTimeout: RECEIVE_TIMEOUT_MS,
        headers: {
          authorization: `Bearer ${this.#options.key}`,
          "content-type": "application/json",
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const text = await this.#readText(address, reply.body);
      return { status: reply.statusCode, text };
    } catch {
      return { status: 0, text: "no response" };
    }
  }

  async #readText(
    address: string,
    body: AsyncIterable<Uint8Array>,
  ): Promise<string> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of body) {
      chunks.push(chunk);
      const isFirst = chunks.length === 1;
      if (isFirst && Buffer.from(chunk).toString().startsWith(SAMPLES_PREFIX)) {
        this.#options.onSamplesPart?.(address);
      }
    }
    return Buffer.concat(chunks).toString();
  }
}
