/**
 * Formats the responses of the OpenAI-compatible completion API.
 * @module
 */
import type { CompletionCall } from "./completion_schema.ts";

const MS_PER_SECOND = 1000;
const NO_CHOICES = "[]";

/**
 * Formats the responses of one call. The fields that all events share are
 * serialized once, so that an event costs only the serialization of its text.
 */
export class CompletionFormat {
  readonly #isChat: boolean;
  readonly #commonJson: string;
  #isRoleSent = false;

  constructor(call: CompletionCall, id: string, wallMs: number) {
    this.#isChat = call.kind === "chat";
    const created = Math.floor(wallMs / MS_PER_SECOND);
    const fields = { id, created, model: call.model };
    this.#commonJson = JSON.stringify(fields).slice(0, -1);
  }

  /**
   * Returns one event of a streamed response.
   *
   * @param text - The text generated since the previous event.
   * @param finishReason - Why the generation ended; undefined except on the last event.
   */
  formatEvent(text: string, finishReason: string | undefined): string {
    const content = JSON.stringify(text);
    const part = this.#isChat
      ? `"delta":{${this.#formatRole()}"content":${content}}`
      : `"text":${content}`;
    const reason = finishReason === undefined ? "null" : `"${finishReason}"`;
    return this.#formatData(
      `[{"index":0,${part},"logprobs":null,"finish_reason":${reason}}]`,
    );
  }

  /**
   * Returns the event that reports the token usage of a streamed response.
   *
   * @param tokens - The number of generated tokens.
   */
  formatUsageEvent(tokens: number): string {
    const usage = JSON.stringify(buildUsage(tokens));
    return this.#formatData(`${NO_CHOICES},"usage":${usage}`);
  }

  /**
   * Returns the body of a response that is not streamed.
   *
   * @param text - The generated text.
   * @param result - The finish reason and the number of generated tokens.
   */
  formatResponse(
    text: string,
    result: { readonly finishReason: string; readonly tokens: number },
  ): unknown {
    const finish = {
      index: 0,
      finish_reason: result.finishReason,
      logprobs: null,
    };
    const message = { role: "assistant", content: text, refusal: null };
    return {
      ...JSON.parse(`${this.#commonJson}}`),
      object: this.#isChat ? "chat.completion" : "text_completion",
      choices: [this.#isChat ? { ...finish, message } : { ...finish, text }],
      usage: buildUsage(result.tokens),
    };
  }

  #formatRole(): string {
    if (this.#isRoleSent) {
      return "";
    }
    this.#isRoleSent = true;
    return `"role":"assistant",`;
  }

  #formatData(choices: string): string {
    const object = this.#isChat ? "chat.completion.chunk" : "text_completion";
    return `data: ${this.#commonJson},"object":"${object}","choices":${choices}}\n\n`;
  }
}

/** Reports 0 prompt tokens, because engines do not report their number. */
function buildUsage(tokens: number): Readonly<Record<string, number>> {
  return { prompt_tokens: 0, completion_tokens: tokens, total_tokens: tokens };
}
