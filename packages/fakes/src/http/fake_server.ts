/**
 * The HTTP side of a stand-in: typed errors become what a caller would meet on
 * the wire.
 * @module
 */
import { FencedError, PortError } from "@briarhill/common/errors/errors";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { FaultPlan } from "../faults/fault_plan.ts";
import { Exchange } from "./exchange.ts";
import { KeptAnswer } from "./kept_answer.ts";

const HOST = "127.0.0.1";
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const STATUS_UNAVAILABLE = 503;
const STATUS_FAULT = 500;
const MALFORMED_TEXT = '{"broken": \n';

/** The HTTP server of one stand-in, on loopback. */
export abstract class FakeServer {
  readonly #faults: FaultPlan;
  #server: Server | undefined;
  #port: number;

  constructor(faults: FaultPlan, port = 0) {
    this.#faults = faults;
    this.#port = port;
  }

  /** Returns the base address; the port is known after the first start. */
  getAddress(): string {
    return `http://${HOST}:${this.#port}`;
  }

  /** Starts to listen, on the same port as before after a stop. */
  async start(): Promise<void> {
    const server = createServer((request, response) => {
      void this.#handleSafely(new Exchange(request, response));
    });
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#port, HOST, resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
  }

  /** Stops to listen and breaks all connections off. */
  async stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server !== undefined) {
      const closed = new Promise((resolve) => server.close(resolve));
      server.closeAllConnections();
      await closed;
    }
  }

  /**
   * Answers one request.
   *
   * @param exchange - The request and its answer.
   */
  protected abstract handle(exchange: Exchange): Promise<void>;

  /**
   * Returns the method of the port that a request calls.
   *
   * @param exchange - The request and its answer.
   */
  protected abstract getOperation(exchange: Exchange): string;

  async #handleSafely(exchange: Exchange): Promise<void> {
    const operation = this.getOperation(exchange);
    const fault = this.#faults.drawAnswerFault(operation);
    if (fault === undefined) {
      return await this.#handleOrSendError(exchange);
    }
    const kept = new KeptAnswer(exchange.request.socket);
    await this.#handleOrSendError(exchange);
    if (fault.kind === "repeated") {
      return kept.send(2);
    }
    await this.#faults.held.wait();
    kept.send(1);
  }

  async #handleOrSendError(exchange: Exchange): Promise<void> {
    try {
      await this.handle(exchange);
    } catch (error) {
      this.#sendError(exchange, error);
    }
  }

  /**
   * Sends an answer that can't be read.
   *
   * @param exchange - The request and its answer.
   */
  protected sendMalformed(exchange: Exchange): void {
    exchange.sendText(STATUS_OK, MALFORMED_TEXT);
  }

  #sendError(exchange: Exchange, error: unknown): void {
    if (!(error instanceof PortError)) {
      exchange.sendJson(STATUS_FAULT, { title: String(error) });
      return;
    }
    switch (error.fault) {
      case "reset":
      case "cancelled":
        return exchange.abort();
      case "silent":
        return;
      case "malformed":
        return this.sendMalformed(exchange);
      case "incomplete":
        return exchange.close();
      case "refused":
      case "rejected":
        return sendRejection(exchange, error);
    }
  }
}

function sendRejection(exchange: Exchange, error: PortError): void {
  const fenced = error instanceof FencedError;
  exchange.sendJson(fenced ? STATUS_CONFLICT : STATUS_UNAVAILABLE, {
    title: error.message,
    outcome: error.outcome,
    retryAfterMs: error.retryAfterMs,
    fenced,
  });
}
