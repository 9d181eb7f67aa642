/**
 * Ports under test, in memory and over HTTP.
 * @module
 */
import type { HttpSettings } from "@briarhill/ports/http/http_settings";
import type { FaultPlan } from "../src/faults/fault_plan.ts";
import type { FakeServer } from "../src/http/fake_server.ts";

const PATIENT_MS = 20_000;
const IMPATIENT_MS = 300;

/** How a port is reached in a test. */
export const ACCESSES = ["in memory", "over HTTP"] as const;

/** How a port is reached in a test. */
export type Access = typeof ACCESSES[number];

/** One call of a port, made several times with its number from 0 on. */
export interface ContractCall<P> {
  readonly operation: string;
  /** Changes the other side ahead of a call, where the arguments alone don't tell answers apart. */
  readonly prepare?: (number: number) => Promise<unknown> | void;
  readonly call: (port: P, number: number) => Promise<unknown>;
  /** What a good call returns. */
  readonly getExpected: (number: number) => unknown;
  /** How many calls took effect at the other side; left out for calls that only read. */
  readonly countEffects?: () => number;
}

/** A stand-in that is itself the port. */
export type Fake<P> = P & { readonly faults: FaultPlan };

/** A port, its stand-in, and its adapter over HTTP. */
export interface PortUnderTest<P, F extends Fake<P>> {
  readonly createFake: () => F;
  readonly createServer: (fake: F) => FakeServer;
  readonly createAdapter: (
    address: string,
    settings: HttpSettings,
  ) => P & { readonly close: () => Promise<void> };
  /** The calls to test; called after the stand-in was created. */
  readonly listCalls: (fake: F) => readonly ContractCall<P>[];
  /** Ends the work of the stand-in. */
  readonly stop?: (fake: F) => void;
}

/** A port under test and the stand-in behind it. */
export interface Subject<P, F> {
  readonly port: P;
  readonly fake: F;
  /** Makes calls from now on fail before they leave. */
  readonly refuse: (operation: string) => Promise<void>;
  readonly close: () => Promise<void>;
}

/** How a subject is reached. */
export interface SubjectOptions {
  readonly access: Access;
  /** Whether the caller gives up early. */
  readonly impatient?: boolean;
}

/**
 * Creates a port and the stand-in behind it.
 *
 * @param unit - The port under test.
 * @param options - How it is reached.
 */
export async function createSubject<P, F extends Fake<P>>(
  unit: PortUnderTest<P, F>,
  options: SubjectOptions,
): Promise<Subject<P, F>> {
  const fake = unit.createFake();
  if (options.access === "in memory") {
    return {
      port: fake,
      fake,
      refuse: async (operation) =>
        fake.faults.add({ operation, kind: "refused" }),
      close: async () => unit.stop?.(fake),
    };
  }
  const server = unit.createServer(fake);
  await server.start();
  const settings = createHttpSettings(options.impatient ?? false);
  const port = unit.createAdapter(server.getAddress(), settings);
  return {
    port,
    fake,
    refuse: () => server.stop(),
    close: async () => {
      await port.close();
      await server.stop();
      unit.stop?.(fake);
    },
  };
}

function createHttpSettings(impatient: boolean): HttpSettings {
  const waitMs = impatient ? IMPATIENT_MS : PATIENT_MS;
  return {
    connectTimeoutMs: PATIENT_MS,
    firstByteTimeoutMs: waitMs,
    progressTimeoutMs: waitMs,
    maxResponseBytes: 1_000_000,
  };
}
