/**
 * Delays the reads of connections while many streams are open, so that one read
 * returns more data. A delayed read must be started later unless its
 * connection has been closed.
 * @module
 */
import type { Clock, Timer } from "@briarhill/common/time/clock";
import type { Socket } from "node:net";
import { ReadSchedule } from "./read_schedule.ts";

const TICK_MS = 10;
const MAX_UNDELAYED_STREAMS = 16;
const DELAY_MS_PER_STREAM = 1;
const MAX_DELAY_MS = 100;

interface DeferredRead {
  readonly socket: Socket;
  readonly schedule: ReadSchedule;
  readonly dueMs: number;
  readonly start: () => void;
}

/**
 * Delays reads so that data accumulates in the kernel's socket buffers, because
 * reads and writes are most of the cost of a stream. Reads are not delayed
 * while few streams are open; the delay grows with the number of open streams.
 * One timer serves all connections.
 */
export class ReadPacer {
  readonly #clock: Clock;
  #deferred: DeferredRead[] = [];
  #openStreams = 0;
  #timer: Timer | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Counts a stream as open; returns a function that counts it as closed, once.
   */
  addStream(): () => void {
    this.#openStreams++;
    let isOpen = true;
    return () => {
      this.#openStreams -= isOpen ? 1 : 0;
      isOpen = false;
    };
  }

  /** Returns the current delay of reads. */
  getReadDelayMs(): number {
    const delayMs = (this.#openStreams - MAX_UNDELAYED_STREAMS) *
      DELAY_MS_PER_STREAM;
    return Math.max(0, Math.min(MAX_DELAY_MS, delayMs));
  }

  /**
   * Starts pacing the reads of a connection.
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
      const dueMs = schedule.computeDueMs(progress, this.getReadDelayMs());
      const start = () => read(size);
      if (dueMs <= nowMs) {
        start();
      } else {
        this.#addDeferred({ socket, schedule, dueMs, start });
      }
    };
  }

  #addDeferred(read: DeferredRead): void {
    this.#deferred.push(read);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#deferred.length > 0) {
      this.#timer ??= this.#clock.setTimer(TICK_MS, () => this.#release());
    }
  }

  #release(): void {
    this.#timer = undefined;
    const nowMs = this.#clock.getMonotonicMs();
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const read of deferred) {
      const { socket, schedule, dueMs } = read;
      if (dueMs > nowMs && !schedule.hasNewRequest(socket.bytesWritten)) {
        this.#deferred.push(read);
      } else if (!socket.destroyed) {
        read.start();
      }
    }
    this.#schedule();
  }
}
