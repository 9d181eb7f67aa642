import { CONFIGURATION_STREAM } from "@briarhill/control/configuration/configuration_record";
import type { Fault } from "@briarhill/fakes/faults/fault";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { CliFixture } from "./cli_fixture.ts";

const EXAMPLES = new URL("../../../../examples/", import.meta.url);

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), "utf8");
}

function createAmendment(share: string, head = ""): string {
  return `[amend]\ncustomer = agencia\n${head}[engine_time]\nshare = ${share}\n`;
}

/** Publishes both example contracts: agencia is revision 1, maison 2. */
async function createPublishedFixture(): Promise<CliFixture> {
  const cli = new CliFixture();
  const files = ["platform", "agencia_contract", "maison_contract"].map((
    name,
  ) => cli.writeFile(`${name}.ini`, readExample(`${name}.ini`)));
  const [platform = "", agencia = "", maison = ""] = files;
  assert.equal((await cli.run("capacity", "publish", platform)).code, 0);
  assert.equal((await cli.run("contract", "publish", agencia)).code, 0);
  assert.equal((await cli.run("contract", "publish", maison)).code, 0);
  return cli;
}

describe("exit codes", () => {
  async function doTest(
    args: readonly string[],
    expected: { readonly code: number; readonly file?: string },
  ): Promise<void> {
    const cli = await createPublishedFixture();
    const file = cli.writeFile("file.ini", expected.file ?? "");
    const resolvedArgs = args.map((arg) => arg === "FILE" ? file : arg);
    const { code } = await cli.run(...resolvedArgs);
    assert.equal(code, expected.code, args.join(" "));
  }

  it("report the outcome of each command", async () => {
    const amend = ["contract", "amend", "FILE"];
    await doTest(amend, { code: 0, file: createAmendment("0.5") });
    await doTest(amend, { code: 2, file: createAmendment("0.7") });
    await doTest(amend, { code: 2, file: createAmendment("no") });
    await doTest(amend, { code: 2 });
    const staleAmendment = createAmendment("0.5", "based_on = 0\n");
    await doTest(amend, { code: 3, file: staleAmendment });
    const missing = createAmendment("0.5").replace("agencia", "other");
    await doTest(amend, { code: 8, file: missing });
    const agencia = readExample("agencia_contract.ini");
    const publish = ["contract", "publish", "FILE"];
    await doTest(publish, { code: 0, file: agencia });
    await doTest([...publish, "--based-on", "0"], { code: 3, file: agencia });
    await doTest([...publish, "--based-on", "x"], { code: 2, file: agencia });
    await doTest([...publish, "--wait"], { code: 2, file: agencia });
    await doTest(["contract", "check", "FILE"], { code: 0, file: agencia });
    await doTest(["contract", "check", "FILE", "--in-force"], {
      code: 2,
      file: agencia.replace("names-es", "names"),
    });
    await doTest(["contract", "check", "/none.ini"], { code: 2 });
    await doTest(["contract", "show", "agencia"], { code: 0 });
    await doTest(["contract", "show", "other"], { code: 8 });
    await doTest(["contract", "remove", "maison"], { code: 0 });
    await doTest(["contract", "history"], { code: 0 });
    await doTest(["contract", "diff", "FILE"], { code: 0, file: agencia });
    await doTest(["drain", "host", "entry-1"], { code: 0 });
    await doTest(["drain", "rack", "entry-1"], { code: 2 });
    await doTest(["drain", "host"], { code: 1 });
    await doTest(["config", "check", "FILE"], { code: 2 });
    await doTest(["status"], { code: 2 });
    await doTest(["status", "--node", "http://silent"], { code: 7 });
    await doTest(["histograms", "--node", "http://n"], { code: 0 });
    await doTest(["watch", "--node", "http://n", "--rounds", "2"], { code: 0 });
  });
});

describe("contract publish", () => {
  async function doFaultTest(
    fault: Fault,
    expected: { readonly code: number; readonly appends: number },
  ): Promise<void> {
    const cli = new CliFixture();
    const file = cli.writeFile("a.ini", readExample("agencia_contract.ini"));
    cli.log.faults.add(fault);
    const { code, data } = await cli.run("contract", "publish", file);
    assert.equal(code, expected.code, JSON.stringify({ fault, data }));
    const records = cli.log.getRecords(CONFIGURATION_STREAM);
    assert.equal(records.length, expected.appends, JSON.stringify(fault));
  }

  it("determines the outcome of a publication when the log fails", async () => {
    const append = { operation: "append" } as const;
    const responseLost = { ...append, kind: "reset", when: "after" } as const;
    await doFaultTest(responseLost, { code: 0, appends: 1 });
    await doFaultTest({ ...responseLost, times: 9 }, { code: 0, appends: 1 });
    const requestLost = { ...append, kind: "reset" } as const;
    await doFaultTest(requestLost, { code: 0, appends: 1 });
    await doFaultTest({ ...requestLost, times: 9 }, { code: 5, appends: 0 });
    const refused = { ...append, kind: "refused" } as const;
    await doFaultTest(refused, { code: 0, appends: 1 });
    await doFaultTest({ ...refused, times: 9 }, { code: 4, appends: 0 });
    const read = { operation: "read", kind: "refused" } as const;
    await doFaultTest(read, { code: 7, appends: 0 });
    await doFaultTest({ ...read, skip: 1, times: 3 }, { code: 0, appends: 1 });
  });

  it("reports the revision in force when a change conflicts with it", async () => {
    const cli = await createPublishedFixture();
    const first = cli.writeFile(
      "1.ini",
      createAmendment("0.5", "based_on = 1\n"),
    );
    const second = cli.writeFile(
      "2.ini",
      createAmendment("0.4", "based_on = 1\n"),
    );
    await cli.run("contract", "amend", first, "--writer", "ana");
    const { code, data } = await cli.run("contract", "amend", second);
    assert.equal(code, 3);
    const { revision, writer } = data["inForce"] as Record<string, unknown>;
    assert.deepEqual({ revision, writer }, { revision: 3, writer: "ana" });
  });

  it("lists the lagging members after --wait times out", async () => {
    const cli = await createPublishedFixture();
    cli.addNode("http://a", { revision: 3, members: ["a", "b", "c"] });
    cli.addNode("http://b", { revision: 2 });
    const nodes = ["a", "b", "d"].flatMap((
      node,
    ) => ["--node", `http://${node}`]);
    const file = cli.writeFile("f.ini", createAmendment("0.5"));
    const { code, data } = await cli.run(
      ...["contract", "amend", file, "--wait", ...nodes],
    );
    assert.equal(code, 6);
    const lagging = data["lagging"] as readonly Record<string, string>[];
    assert.deepEqual(lagging.map(({ name, reason }) => `${name} ${reason}`), [
      "http://d silent",
      "b behind",
      "c not-asked",
    ]);
  });
});
