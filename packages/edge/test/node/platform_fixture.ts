import { Logger } from "@briarhill/common/logging/logger";
import { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import { EntryHost } from "../../src/node/entry_host.ts";
import { LOT_GROUP } from "../../src/lots/shard_group.ts";
import { parseHostSettings } from "../../src/settings/host_settings.ts";

/** Longer than the interval at which a host rejoins its group. */
const REJOIN_MS = 900;

/** The platform stand-in with hosts that run in this process. */
export class PlatformFixture extends PlatformStandIn {
  readonly #hosts: EntryHost[] = [];

  async startHosts(count: number): Promise<void> {
    await this.start();
    await this.#startAll(count);
  }

  /** Stops all hosts and starts others in their place, which know nothing. */
  async restartHosts(): Promise<void> {
    const hosts = this.#hosts.splice(0);
    await Promise.all(hosts.map((host) => host.stop()));
    await this.#startAll(hosts.length);
  }

  async #startAll(count: number): Promise<void> {
    for (let number = 0; number < count; number++) {
      const host = new EntryHost(
        parseHostSettings("host.ini", this.createSettings(number)),
        Logger.create({ host: `host-${number}` }),
      );
      this.#hosts.push(host);
      await host.start();
    }
    await this.waitFor(async () =>
      (await this.call(count - 1, "GET", "/briarhill/readyz")).status === 200
    );
    await this.#waitForShares(count);
  }

  /** Returns the number of the host that runs a lot; -1 if none does. */
  getOwner(lot: string): number {
    return this.#hosts.findIndex((host) => host.isRunning(lot));
  }

  /** Stops one host. */
  async stopHost(host: number): Promise<void> {
    await this.#hosts[host]?.stop();
  }

  /** Stops the host that runs a lot. */
  async stopOwner(lot: string): Promise<void> {
    await this.#hosts.find((host) => host.isRunning(lot))?.stop();
  }

  async stopHosts(): Promise<void> {
    await Promise.all(this.#hosts.map((host) => host.stop()));
    this.stop();
  }

  /** Waits until every host owns its share of the shards and has learned of it: a host that joins takes shards over. */
  async #waitForShares(hosts: number): Promise<void> {
    const listShareSizes = () =>
      this.store.listHolders(LOT_GROUP).map(({ count }) => count);
    await this.waitFor(() =>
      Promise.resolve(
        listShareSizes().length === hosts &&
          listShareSizes().every((count) => count === 24 / hosts),
      )
    );
    await new Promise((resolve) => setTimeout(resolve, REJOIN_MS));
  }
}
