/**
 * Clients of a soak that break streams off and take them up at other hosts.
 * @module
 */
import { ClientStream } from "@briarhill/fakes/platform/client_stream";
import type { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakChecks } from "./soak_checks.ts";

const STREAM_EVERY_MS = 80;
const DEADLINE_MS = 4_000;
/** The number of events that each try brings before the client breaks it off; the last one runs to its end. */
const EVENTS_OF_TRIES = [2, 1, 2, Infinity, Infinity];
/** The longest pause between two tries, in milliseconds; the shortest is zero. */
const MAX_PAUSE_MS = 600;

/** Options of {@link SoakStreams}. */
export interface SoakStreamsOptions {
  readonly hosts: number;
  readonly checks: SoakChecks;
  readonly isRunning: () => boolean;
}

/** Clients that take streams up. */
export class SoakStreams {
  readonly #platform: PlatformStandIn;
  readonly #options: SoakStreamsOptions;

  constructor(platform: PlatformStandIn, options: SoakStreamsOptions) {
    this.#platform = platform;
    this.#options = options;
  }

  /** Runs streams until the soak ends, and resolves when all have ended. */
  async run(): Promise<void> {
    const open: Promise<void>[] = [];
    for (let number = 0; this.#options.isRunning(); number++) {
      open.push(this.#runStream(number));
      await sleep(STREAM_EVERY_MS);
    }
    await Promise.all(open);
  }

  async #runStream(number: number): Promise<void> {
    const { hosts, checks } = this.#options;
    const stream = new ClientStream({
      id: `stream-${number}`,
      deadlineMs: DEADLINE_MS,
    });
    for (const [index, maxEvents] of EVENTS_OF_TRIES.entries()) {
      const host = (number + index) % hosts;
      const address = this.#platform.getReachableAddress(
        this.#platform.getAddress(host),
      );
      await stream.readEvents(address, maxEvents);
      if (stream.isComplete) {
        break;
      }
      await sleep(number * 97 % MAX_PAUSE_MS);
    }
    checks.checkStream(stream);
  }
}
