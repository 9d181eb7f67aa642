/**
 * A client of hosts, as callers and trainers are.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { LOTS_PATH } from "@briarhill/platform/names/paths";
import {
  callHost,
  type HostAnswer,
  type HostCallOptions,
} from "./host_call.ts";
import { SERVICE_HOST } from "./platform_configuration.ts";
import { getProxyAddress } from "./platform_links.ts";
import {
  createHandIn,
  type LotResult,
  parseResults,
  RESULTS_READ,
} from "./trainer_calls.ts";

/** Calls hosts on addresses of the loopback network. */
export class HostClient {
  /** The first port of the hosts and stand-ins. */
  readonly base: number;
  readonly #hasLinks: boolean;

  /**
   * @param base - The first port of the hosts and stand-ins.
   * @param hasLinks - Whether all are reached through links that can be harmed.
   */
  constructor(base: number, hasLinks: boolean) {
    this.base = base;
    this.#hasLinks = hasLinks;
  }

  /**
   * Returns the address of a host.
   *
   * @param host - Its number, from 0.
   */
  getIp(host: number): string {
    return `127.0.0.${host + 2}`;
  }

  /**
   * Calls a host on a connection of its own.
   *
   * @param host - Its number.
   * @param method - The method.
   * @param path - The path.
   * @param options - Headers and body.
   */
  call(
    host: number,
    method: string,
    path: string,
    options: HostCallOptions = {},
  ): Promise<HostAnswer> {
    return callHost(this.getReached(this.getAddress(host)), {
      method,
      path,
      ...options,
      headers: { host: SERVICE_HOST, ...options.headers },
    });
  }

  /**
   * Hands a lot in.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   * @param samples - How many samples it has, in two groups.
   */
  sendLot(host: number, lot: string, samples: number): Promise<HostAnswer> {
    return this.call(
      host,
      "POST",
      `/rollout/${lot}`,
      createHandIn(lot, samples),
    );
  }

  /**
   * Reads all results of a lot; empty where the host can't tell.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   */
  async readResults(host: number, lot: string): Promise<readonly LotResult[]> {
    const answer = await this.call(
      host,
      "GET",
      `${LOTS_PATH}${lot}?after=0`,
      RESULTS_READ,
    );
    return parseResults(answer);
  }

  /**
   * Reads results until there are enough.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   * @param count - How many are enough.
   */
  async waitResults(
    host: number,
    lot: string,
    count: number,
  ): Promise<readonly LotResult[]> {
    let results: readonly LotResult[] = [];
    await this.waitFor(async () => {
      results = await this.readResults(host, lot);
      return results.length >= count;
    });
    return results;
  }

  /**
   * Asks until it holds; the bound only ends a run that hangs.
   *
   * @param holds - What has to hold.
   */
  async waitFor(holds: () => Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < 1_000; tries++) {
      if (await holds().catch(() => false)) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    throw new DeadlineError("the condition never held");
  }

  /**
   * Returns where a host takes calls.
   *
   * @param host - Its number.
   */
  getAddress(host: number): HttpAddress {
    return { hostname: this.getIp(host), port: this.base + 1 };
  }

  /**
   * Returns where a target is reached.
   *
   * @param target - Where it listens.
   */
  getReached(target: HttpAddress): HttpAddress {
    return this.#hasLinks ? getProxyAddress(target) : target;
  }
}
