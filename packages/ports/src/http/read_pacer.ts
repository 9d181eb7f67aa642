/**
 * Lets the parts of many streams gather in the kernel before they are read.
 * @module
 */
import type { Clock, Timer } from "@briarhill/common/time/clock";
import type { Socket } from "node:net";
import { ReadSchedule } from "./read_schedule.ts";

const TICK_MS = 10;
const UNPACED_STREAMS = 16;
const PACE_MS_PER_STREAM = 1;
const MAX_PACE_MS = 100;

interface HeldRead {
  readonly socket: Socket;
  readonly schedule: ReadSchedule;
  readonly dueMs: number;
  readonly start: () => void;
}

/**
 * Lets the parts of many streams gather in the kernel before they are read, as
 * most of a stream's cost is that of its reads and writes. Few streams are
 * read at once; the more there are, the more each read brings. One timer
 * serves all connections.
 */
export class ReadPacer {
  readonly #clock: Clock;
  #held: HeldRead[] = [];
  #streams = 0;
  #timer: Timer | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Counts a stream as open; returns what closes it. */
  addStream(): () => void {
    this.#streams++;
    let isOpen = true;
    return () => {
      this.#streams -= isOpen ? 1 : 0;
      isOpen = false;
    };
  }

  /** Returns how long the parts of a stream gather now. */
  getPaceMs(): number {
    const busyMs = (this.#streams - UNPACED_STREAMS) * PACE_MS_PER_STREAM;
    return Math.max(0, Math.min(MAX_PACE_MS, busyMs));
  }

  /**
   * Paces the reads of a connection from now on.
   *
   * @param socket - The connection; it must stop reading at any unread byte.
   */
  addSocket(socket: Socket): void {
    const schedule = new ReadSchedule();
    const read = socket._read.bind(socket);
    socket._read = (size: number) => {
      const nowMs = this.#clock.getMonotonicMs();
      const { bytesRead, bytesWritten } = socket;
      const progress = { bytesRead, bytesWritten, nowMs };
      const dueMs = schedule.computeDueMs(progress, this.getPaceMs());
      const start = () => read(size);
      if (dueMs <= nowMs) {
        start();
      } else {
        this.#addHeld({ socket, schedule, dueMs, start });
      }
    };
  }

  #addHeld(read: HeldRead): void {
    this.#held.push(read);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#held.length > 0) {
      this.#timer ??= this.#clock.setTimer(TICK_MS, () => this.#release());
    }
  }

  #release(): void {
    this.#timer = undefined;
    const nowMs = this.#clock.getMonotonicMs();
    const held = this.#held;
    this.#held = [];
    for (const read of held) {
      const { socket, schedule, dueMs } = read;
      if (dueMs > nowMs && !schedule.hasNewRequest(socket.bytesWritten)) {
        this.#held.push(read);
      } else if (!socket.destroyed) {
        read.start();
      }
    }
    this.#schedule();
  }
}
