/**
 * A client of hosts that makes the calls of callers and trainers.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { LOTS_PATH } from "@briarhill/platform/names/paths";
import {
  callHost,
  type HostCallOptions,
  type HostResponse,
} from "./host_call.ts";
import { SERVICE_HOST } from "./platform_configuration.ts";
import { getProxyAddress } from "./platform_links.ts";
import {
  createLotSubmission,
  type LotResult,
  parseResults,
  RESULTS_CALL_OPTIONS,
} from "./trainer_calls.ts";

/** Calls hosts on the loopback network, where each host has an IP address of its own. */
export class HostClient {
  /** The first of the ports that the hosts and stand-ins use. */
  readonly firstPort: number;
  readonly #hasLinks: boolean;

  /**
   * @param base - The first of the ports that the hosts and stand-ins use.
   * @param hasLinks - Whether hosts and stand-ins are reached through fault proxies.
   */
  constructor(base: number, hasLinks: boolean) {
    this.firstPort = base;
    this.#hasLinks = hasLinks;
  }

  /**
   * Returns the IP address of a host.
   *
   * @param host - The host's number, from 0.
   */
  getIp(host: number): string {
    return `127.0.0.${host + 2}`;
  }

  /**
   * Calls a host on a connection of its own.
   *
   * @param host - The host's number.
   * @param method - The HTTP method.
   * @param path - The path of the request.
   * @param options - Headers, body and timeout.
   */
  call(
    host: number,
    method: string,
    path: string,
    options: HostCallOptions = {},
  ): Promise<HostResponse> {
    return callHost(this.getReachableAddress(this.getAddress(host)), {
      method,
      path,
      ...options,
      headers: { host: SERVICE_HOST, ...options.headers },
    });
  }

  /**
   * Submits a lot.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   * @param samples - The number of samples, which are split into two groups.
   */
  sendLot(host: number, lot: string, samples: number): Promise<HostResponse> {
    return this.call(
      host,
      "POST",
      `/rollout/${lot}`,
      createLotSubmission(lot, samples),
    );
  }

  /**
   * Reads all results of a lot; returns none if the response is not a 200.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   */
  async readResults(host: number, lot: string): Promise<readonly LotResult[]> {
    const response = await this.call(
      host,
      "GET",
      `${LOTS_PATH}${lot}?after=0`,
      RESULTS_CALL_OPTIONS,
    );
    return parseResults(response);
  }

  /**
   * Polls the results of a lot until the given number is available.
   *
   * @param host - The host's number.
   * @param lot - The lot's id.
   * @param count - The number of results to wait for.
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
   * Polls a condition until it holds; a rejection counts as not holding. The bound
   * of 1,000 checks only ends a test run that hangs.
   *
   * @param condition - The condition to check.
   */
  async waitFor(condition: () => Promise<boolean>): Promise<void> {
    for (let check = 0; check < 1_000; check++) {
      if (await condition().catch(() => false)) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    throw new DeadlineError(
      "condition did not hold in 1,000 checks at intervals of 20 ms",
    );
  }

  /**
   * Returns the address at which a host accepts calls.
   *
   * @param host - The host's number.
   */
  getAddress(host: number): HttpAddress {
    return { hostname: this.getIp(host), port: this.firstPort + 1 };
  }

  /**
   * Returns the address at which a target is reached: that of its proxy if there are
   * links, else its own.
   *
   * @param target - The address that the target listens on.
   */
  getReachableAddress(target: HttpAddress): HttpAddress {
    return this.#hasLinks ? getProxyAddress(target) : target;
  }
}
