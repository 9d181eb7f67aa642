/**
 * Publishes one change and finds out what became of it.
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
const EXPIRY_MS = 60_000;

/** What became of a change. */
export interface Publication {
  readonly outcome: PublicationOutcome;
  /** The verdict on the record, where it was found in the log. */
  readonly verdict: RecordVerdict | undefined;
}

/** What a publisher works with. */
export interface PublisherParts {
  readonly log: LogService;
  readonly clock: Clock;
  readonly reader: ConfigurationReader;
  readonly writer: string;
}

/** Publishes one change at a time. */
export class ConfigurationPublisher {
  readonly #parts: PublisherParts;
  readonly #session = randomUUID();
  #sequence = 0;

  constructor(parts: PublisherParts) {
    this.#parts = parts;
  }

  /**
   * Publishes a change and waits until the log has judged it.
   *
   * @param change - The change.
   */
  async publish(change: ConfigurationChange): Promise<Publication> {
    const id = {
      writer: this.#parts.writer,
      session: this.#session,
      sequence: this.#sequence++,
    };
    const value = encodeConfigurationRecord({ ...id, ...change });
    const endMs = this.#parts.clock.getMonotonicMs() + EXPIRY_MS;
    let [machine, actions] = initialTransition(PUBLICATION_MACHINE);
    while (machine.status === "active") {
      const event = this.#getNowMs() >= endMs
        ? { type: "expired" } as const
        : await this.#run(actions.map(({ type }) => type), { id, value });
      [machine, actions] = transition(PUBLICATION_MACHINE, machine, event);
    }
    return toPublication(machine);
  }

  #run(
    commands: readonly string[],
    own: { readonly id: RecordId; readonly value: string },
  ): Promise<PublicationEvent> {
    return commands.includes("append")
      ? this.#append(own.value)
      : this.#readOn(own.id);
  }

  async #append(value: string): Promise<PublicationEvent> {
    try {
      await this.#parts.log.append(CONFIGURATION_STREAM, value);
      return { type: "appended", nowMs: this.#getNowMs() };
    } catch (error) {
      const outcome = error instanceof PortError ? error.outcome : "unknown";
      return { type: "appendFailed", outcome, nowMs: this.#getNowMs() };
    }
  }

  async #readOn(id: RecordId): Promise<PublicationEvent> {
    try {
      await this.#parts.reader.readToEnd();
      const own = this.#parts.reader.findVerdict(id);
      if (own === undefined) {
        await this.#parts.clock.sleep(READ_INTERVAL_MS);
      }
      return { type: "read", own, nowMs: this.#getNowMs() };
    } catch {
      await this.#parts.clock.sleep(READ_INTERVAL_MS);
      return { type: "readFailed" };
    }
  }

  #getNowMs(): number {
    return this.#parts.clock.getMonotonicMs();
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
