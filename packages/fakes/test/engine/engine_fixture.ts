/**
 * Engines under test, in memory and over HTTP.
 * @module
 */
import { SystemClock } from "@briarhill/common/time/system_clock";
import type {
  Engine,
  GenerateChunk,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";
import { HttpEngine } from "@briarhill/ports/engine/http_engine";
import { FakeEngine } from "../../src/engine/fake_engine.ts";
import { FakeEngineServer } from "../../src/engine/fake_engine_server.ts";
import type { FakeEngineSettings } from "../../src/engine/fake_engine_settings.ts";
import { computeToken, hashStream } from "../../src/engine/fake_text.ts";
import { FakeWeightStore } from "../../src/weights/fake_weight_store.ts";
import {
  type Access,
  type ContractCall,
  createSubject,
  type PortUnderTest,
} from "../contract_subject.ts";

export const MODEL = "names-es";
const PROMPT = "una plaza";
export const TOKENS = 8;
const FAST: Partial<FakeEngineSettings> = {
  stepMs: 1,
  stepMsPerRequest: 0,
  loadMs: 1,
  loadReportLagMs: 0,
  medianTokens: 1000,
  lengthSigma: 0,
};

export function createRequest(
  options: Partial<GenerateRequest> = {},
): GenerateRequest {
  return {
    requestId: "r1",
    model: MODEL,
    prompt: PROMPT,
    fromToken: 0,
    sampling: { temperature: 1, topP: 1, maxTokens: TOKENS, seed: 7 },
    priority: 0,
    ...options,
  };
}

export function createText(version: number, from = 0): string {
  return createTokens({ version, from }).join("");
}

export function createTokens(
  { version = 1, from = 0, prompt = PROMPT } = {},
): readonly string[] {
  const streamHash = hashStream(prompt, 7);
  return Array.from(
    { length: TOKENS - from },
    (_, index) => computeToken({ streamHash, index: from + index, version }),
  );
}

export function createEngine(
  settings: Partial<FakeEngineSettings> = {},
): FakeEngine {
  const clock = new SystemClock();
  const store = new FakeWeightStore(clock);
  store.addVersion(MODEL, 2);
  return new FakeEngine({ clock, store }, { ...FAST, ...settings });
}

export async function readText(
  chunks: AsyncIterable<GenerateChunk>,
): Promise<string> {
  let text = "";
  for await (const chunk of chunks) {
    text += chunk.tokens.join("");
  }
  return text;
}

export function createUnit(
  settings: Partial<FakeEngineSettings> = {},
  listCalls: (engine: FakeEngine) => readonly ContractCall<Engine>[] = () => [],
): PortUnderTest<Engine, FakeEngine> {
  return {
    createFake: () => createEngine(settings),
    createServer: (engine) => new FakeEngineServer(engine),
    createAdapter: (address, limits) => new HttpEngine(address, limits),
    listCalls,
    stop: (engine) => engine.stop(),
  };
}

export interface TestOptions {
  readonly access: Access;
  readonly settings?: Partial<FakeEngineSettings>;
}

/** Runs a test on a fresh engine and ends the engine. */
export async function testEngine(
  run: (port: Engine, engine: FakeEngine) => Promise<void>,
  { access, settings }: TestOptions,
): Promise<void> {
  const subject = await createSubject(createUnit(settings), { access });
  try {
    await run(subject.port, subject.fake);
  } finally {
    await subject.close();
  }
}
