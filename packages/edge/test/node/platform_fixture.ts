import { Logger } from "@briarhill/common/logging/logger";
import { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import { EntryHost } from "../../src/node/entry_host.ts";
import { LOT_GROUP } from "../../src/lots/shard_group.ts";
import { parseHostSettings } from "../../src/settings/host_settings.ts";

/** Above the time after which a host joins its group again. */
const JOIN_EVERY_MS = 900;

/** The stand-in of the platform with hosts in this process. */
export class PlatformFixture extends PlatformStandIn {
  readonly #hosts: EntryHost[] = [];

  async startHosts(count: number): Promise<void> {
    await this.start();
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
    await this.#waitShared(count);
  }

  /** Stops the host that runs a lot. */
  async stopOwner(lot: string): Promise<void> {
    await this.#hosts.find((host) => host.isRunning(lot))?.stop();
  }

  async stopHosts(): Promise<void> {
    await Promise.all(this.#hosts.map((host) => host.stop()));
    this.stop();
  }

  /** Waits until every host holds its share and knows it: a host that joins takes work over. */
  async #waitShared(hosts: number): Promise<void> {
    const countShares = () =>
      this.store.listHolders(LOT_GROUP).map(({ count }) => count);
    await this.waitFor(() =>
      Promise.resolve(
        countShares().length === hosts &&
          countShares().every((count) => count === 24 / hosts),
      )
    );
    await new Promise((resolve) => setTimeout(resolve, JOIN_EVERY_MS));
  }
}
