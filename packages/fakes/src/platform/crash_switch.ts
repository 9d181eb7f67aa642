/**
 * Lets certain requests crash an endpoint stand-in, which then restarts.
 * @module
 */
import type { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";

/** A crash of an endpoint by a request. */
export interface RequestCrash {
  readonly body: string;
  /** In milliseconds since 1970. */
  readonly atMs: number;
}

/** What is stopped and restarted. */
export interface CrashableEndpoint {
  readonly close: () => void;
  readonly start: () => Promise<void>;
  readonly startIncarnation: () => void;
}

/** Crashes an endpoint when it runs certain requests. */
export class CrashSwitch {
  /** A request whose body contains this text crashes the endpoint; undefined for none. */
  text: string | undefined;
  /** The time from a crash to the restart as a new incarnation, in milliseconds. */
  restartMs = 500;
  /** The requests that have crashed the endpoint. */
  readonly crashes: RequestCrash[] = [];
  #isDown = false;
  #isStopped = false;

  /** Leaves the endpoint stopped from now on. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Whether the endpoint has crashed and not restarted yet. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /**
   * Returns whether a request crashes the endpoint, and records it.
   *
   * @param body - The body of the request.
   */
  isTriggered(body: Buffer): boolean {
    if (this.text === undefined || !body.includes(this.text)) {
      return false;
    }
    this.crashes.push({ body: body.toString(), atMs: Date.now() });
    return true;
  }

  /**
   * Crashes an endpoint, and restarts it as a new incarnation after `restartMs`.
   *
   * @param endpoint - The endpoint.
   */
  async killEndpoint(endpoint: CrashableEndpoint): Promise<void> {
    if (this.#isDown) {
      return;
    }
    this.#isDown = true;
    endpoint.close();
    await sleep(this.restartMs);
    if (this.#isStopped) {
      return;
    }
    await endpoint.start();
    endpoint.startIncarnation();
    this.#isDown = false;
  }
}
