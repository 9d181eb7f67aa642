/**
 * One stream of generated text in a stand-in engine.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { WeightVersion } from "@briarhill/common/ids/ids";
import { ChangeNotifier } from "@briarhill/common/time/change_notifier";
import type {
  GenerateChunk,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";
import type { FakeEngineSettings } from "./fake_engine_settings.ts";
import { computeLength, computeToken, hashStream } from "./fake_text.ts";

/** Where a stream stands. */
export type FakeStreamState =
  | "queued"
  | "running"
  | "finished"
  | "cancelled"
  | "reset";

interface FakeToken {
  readonly text: string;
  readonly version: WeightVersion;
}

/** A stream that grows by tokens and can be read from any offset, by several readers. */
export class FakeStream {
  readonly request: GenerateRequest;
  /** The monotonic time before which the prompt is still being processed. */
  readyAtMs = 0;
  /** The version of the weights while running streams keep theirs. */
  version: WeightVersion | undefined;
  readonly #settings: FakeEngineSettings;
  readonly #streamHash: number;
  readonly #start: number;
  readonly #end: number;
  readonly #finishReason: "stop" | "length";
  readonly #tokens: FakeToken[] = [];
  readonly #onUnread: () => void;
  #state: FakeStreamState = "queued";
  #readers = 0;
  readonly #changes = new ChangeNotifier();

  constructor(
    request: GenerateRequest,
    settings: FakeEngineSettings,
    onUnread: () => void,
  ) {
    this.request = request;
    this.#settings = settings;
    this.#onUnread = onUnread;
    this.#streamHash = hashStream(request.prompt, request.sampling.seed);
    this.#start = request.fromToken;
    const { maxTokens } = request.sampling;
    const length = computeLength({
      streamHash: this.#streamHash,
      medianTokens: settings.medianTokens,
      sigma: settings.lengthSigma,
    });
    this.#end = Math.max(this.#start, Math.min(length, maxTokens));
    this.#finishReason = length <= maxTokens ? "stop" : "length";
  }

  /** Where the stream stands. */
  get state(): FakeStreamState {
    return this.#state;
  }

  /** Tells whether somebody reads the stream. */
  isRead(): boolean {
    return this.#readers > 0;
  }

  /** Returns the offset of the next token to be generated. */
  getNext(): number {
    return this.#start + this.#tokens.length;
  }

  /** Tells whether the stream can be read from an offset. */
  hasOffset(offset: number): boolean {
    return offset >= this.#start && offset <= this.getNext();
  }

  /**
   * Sets the state; states after the end stay.
   *
   * @param state - The new state.
   */
  setState(state: FakeStreamState): void {
    if (this.#state === "queued" || this.#state === "running") {
      this.#state = state;
      this.#changes.announce();
    }
  }

  /**
   * Generates tokens up to the stream's end.
   *
   * @param count - How many.
   * @param version - The weights that serve.
   */
  generate(count: number, version: WeightVersion): void {
    const until = Math.min(this.getNext() + count, this.#end);
    for (let index = this.getNext(); index < until; index++) {
      const streamHash = this.#streamHash;
      const text = computeToken({ streamHash, index, version });
      this.#tokens.push({ text, version });
    }
    if (this.getNext() >= this.#end) {
      this.setState("finished");
    } else {
      this.#changes.announce();
    }
  }

  /**
   * Reads the stream to its end.
   *
   * @param from - The offset of the first token.
   */
  async *read(from: number): AsyncIterable<GenerateChunk> {
    this.#readers++;
    try {
      for (let next = from;;) {
        const chunk = this.#getChunk(next);
        if (chunk === undefined) {
          this.#throwIfEnded(next > from);
          await this.#changes.wait();
          continue;
        }
        next += chunk.tokens.length;
        yield chunk;
        if (chunk.finishReason !== undefined) {
          return;
        }
      }
    } finally {
      this.#readers--;
      if (this.#readers === 0) {
        this.#onUnread();
      }
    }
  }

  #getChunk(from: number): GenerateChunk | undefined {
    const first = this.#tokens[from - this.#start];
    if (first === undefined && this.#state !== "finished") {
      return undefined;
    }
    const rest = this.#tokens.slice(from - this.#start);
    const other = rest.findIndex(({ version }) => version !== first?.version);
    const part = other === -1 ? rest : rest.slice(0, other);
    const isLast = this.#state === "finished" && other === -1;
    const isNamed = this.#settings.reportsVersions && first !== undefined;
    return {
      requestId: this.request.requestId,
      fromToken: from,
      tokens: part.map(({ text }) => text),
      ...(isNamed ? { version: first.version } : {}),
      ...(isLast ? { finishReason: this.#finishReason } : {}),
    };
  }

  #throwIfEnded(started: boolean): void {
    if (this.#state === "cancelled" || this.#state === "reset") {
      throw new PortError(`the stream was ${this.#state}`, {
        props: {
          port: "engine",
          operation: "generate",
          fault: this.#state,
          outcome: started ? "ran" : "unknown",
        },
      });
    }
  }
}
