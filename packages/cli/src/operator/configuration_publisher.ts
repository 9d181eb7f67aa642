/**
 * Publishes changes to the configuration log and determines the verdict on each.
 * A record whose append failed without a known outcome is searched for in the
 * log before it is appended again; the publication machine decides when.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import type { RecordVerdict } from "@briarhill/control/configuration/configuration_fold";
import {
  CONFIGURATION_STREAM,
  type ConfigurationChange,
  encodeConfigurationRecord,
  type RecordId,
} from "@briarhill/control/configuration/configuration_record";
import {
  PUBLICATION_MACHINE,
  type PublicationEvent,
  type PublicationOutcome,
} from "@briarhill/control/configuration/publication_machine";
import type { LogService } from "@briarhill/ports/log/log_service";
import { randomUUID } from "node:crypto";
import { initialTransition, type SnapshotFrom, transition } from "xstate";
import type { ConfigurationReader } from "./configuration_reader.ts";

const READ_INTERVAL_MS = 250;
const PUBLISH_TIMEOUT_MS = 60_000;

/** The outcome of publishing a change. */
export interface Publication {
  readonly outcome: PublicationOutcome;
  /** The verdict on the record; undefined when it was not found in the log. */
  readonly verdict: RecordVerdict | undefined;
}

/** Options of {@link ConfigurationPublisher}. */
export interface PublisherOptions {
  readonly log: LogService;
  readonly clock: Clock;
  readonly reader: ConfigurationReader;
  readonly writer: string;
}

/** Publishes configuration changes, one at a time. */
export class ConfigurationPublisher {
  readonly #options: PublisherOptions;
  readonly #session = randomUUID();
  #sequence = 0;

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  /**
   * Publishes a change and waits until its outcome is known, or until the
   * publication times out.
   *
   * @param change - The change.
   */
  async publish(change: ConfigurationChange): Promise<Publication> {
    const id = {
      writer: this.#options.writer,
      session: this.#session,
      sequence: this.#sequence++,
    };
    const value = encodeConfigurationRecord({ ...id, ...change });
    const expiresAtMs = this.#options.clock.getMonotonicMs() +
      PUBLISH_TIMEOUT_MS;
    let [machine, actions] = initialTransition(PUBLICATION_MACHINE);
    while (machine.status === "active") {
      const event = this.#getNowMs() >= expiresAtMs
        ? { type: "expired" } as const
        : await this.#run(actions.map(({ type }) => type), { id, value });
      [machine, actions] = transition(PUBLICATION_MACHINE, machine, event);
    }
    return toPublication(machine);
  }

  #run(
    commands: readonly string[],
    record: { readonly id: RecordId; readonly value: string },
  ): Promise<PublicationEvent> {
    return commands.includes("append")
      ? this.#append(record.value)
      : this.#readVerdict(record.id);
  }

  async #append(value: string): Promise<PublicationEvent> {
    try {
      await this.#options.log.append(CONFIGURATION_STREAM, value);
      return { type: "appended", nowMs: this.#getNowMs() };
    } catch (error) {
      const outcome = error instanceof PortError ? error.outcome : "unknown";
      return { type: "appendFailed", outcome, nowMs: this.#getNowMs() };
    }
  }

  async #readVerdict(id: RecordId): Promise<PublicationEvent> {
    try {
      await this.#options.reader.readToEnd();
      const verdict = this.#options.reader.findVerdict(id);
      if (verdict === undefined) {
        await this.#options.clock.sleep(READ_INTERVAL_MS);
      }
      return { type: "read", ownVerdict: verdict, nowMs: this.#getNowMs() };
    } catch {
      await this.#options.clock.sleep(READ_INTERVAL_MS);
      return { type: "readFailed" };
    }
  }

  #getNowMs(): number {
    return this.#options.clock.getMonotonicMs();
  }
}

function toPublication(
  machine: SnapshotFrom<typeof PUBLICATION_MACHINE>,
): Publication {
  return {
    outcome: machine.value as PublicationOutcome,
    verdict: machine.context.verdict,
  };
}
