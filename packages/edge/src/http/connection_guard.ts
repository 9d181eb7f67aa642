/**
 * Limits the connections of a host's servers and what they hold: heads that do not
 * end, bodies and answers that stall.
 *
 * Load pattern: clients open connections in numbers, send next to nothing on them
 * or leave their answers unread, and stay.
 * @module
 */
import type { Clock, Timer } from "@briarhill/common/time/clock";
import type { Logger } from "@briarhill/common/logging/logger";
import { pickYielding } from "@briarhill/routing/admission/connection_choice";
import type { CallerLimits } from "@briarhill/routing/table/route";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { HostMemory } from "../memory/host_memory.ts";
import { GuardedConnection } from "./guarded_connection.ts";

const SWEEP_INTERVAL_MS = 250;

/** The times after which connections that stall are closed. */
export type StallLimits = Pick<
  CallerLimits,
  "headerTimeoutMs" | "idleTimeoutMs"
>;

/** Options of {@link ConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly memory: HostMemory;
}

/** Limits the connections of a host's servers and what they hold. */
export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions;
  readonly #groups: Set<GuardedConnection>[] = [];
  #limits: StallLimits;
  #timer: Timer | undefined;
  #closed = 0;

  /**
   * @param options - The clock, the logger and the account of bytes.
   * @param limits - The times after which connections that stall are closed.
   */
  constructor(options: ConnectionGuardOptions, limits: StallLimits) {
    this.#options = options;
    this.#limits = limits;
  }

  /**
   * Adds a server; must be called before it listens.
   *
   * @param server - The server.
   * @param maxConnections - The maximum number of its open connections.
   */
  addServer(server: Server, maxConnections: number): void {
    const connections = new Set<GuardedConnection>();
    const bySocket = new WeakMap<Socket, GuardedConnection>();
    this.#groups.push(connections);
    server.on("connection", (socket: Socket) => {
      if (!this.#admitConnection(connections, maxConnections)) {
        this.#closed++;
        socket.destroy();
        return;
      }
      const connection = new GuardedConnection(socket, this.#options);
      connections.add(connection);
      bySocket.set(socket, connection);
      socket.once("close", () => {
        connections.delete(connection);
        connection.release();
      });
    });
    server.prependListener("request", (request, response) => {
      if (request.socket.destroyed) {
        return;
      }
      bySocket.get(request.socket)?.addRequest(request, response);
    });
  }

  /**
   * Applies the limits of a configuration.
   *
   * @param limits - The times after which connections that stall are closed.
   */
  applyLimits(limits: StallLimits): void {
    this.#limits = limits;
  }

  /** Starts to close connections that stall. */
  start(): void {
    this.#timer = this.#options.clock.setTimer(SWEEP_INTERVAL_MS, () => {
      this.#closeStalled();
      this.start();
    });
  }

  /** Stops closing connections. */
  stop(): void {
    this.#timer?.cancel();
  }

  #admitConnection(
    connections: Set<GuardedConnection>,
    maxConnections: number,
  ): boolean {
    if (connections.size < maxConnections) {
      return true;
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const open = [...connections];
    const index = pickYielding(
      open.map((connection) => connection.getStructure(nowMs)),
    );
    const yielding = open[index];
    if (yielding === undefined) {
      return false;
    }
    this.#closed++;
    connections.delete(yielding);
    yielding.close();
    return true;
  }

  #closeStalled(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const connection of this.#groups.flatMap((group) => [...group])) {
      connection.updateProgress(nowMs);
      if (connection.isOverdue(nowMs, this.#limits)) {
        this.#closed++;
        connection.close();
      }
    }
    if (this.#closed > 0) {
      this.#options.logger.warn("connections-closed", {
        closed: this.#closed,
        open: this.#groups.map(({ size }) => size).join(","),
      });
      this.#closed = 0;
    }
  }
}
