import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { InputError } from "../../src/errors/errors.ts";
import { IniDocument } from "../../src/settings/ini_document.ts";

describe("IniDocument.parse", () => {
  function doTest(text: string, expected: Record<string, unknown>): void {
    const document = IniDocument.parse("a.ini", text);
    const actual = Object.fromEntries(
      document.getSectionNames().map((name) => [name, {
        ...document.getSection(name),
      }]),
    );
    assert.deepEqual(actual, expected);
  }

  it("parses sections, values and lists", () => {
    doTest("[a]\nx = 1\ny[] = p\ny[] = q\n[b]\nz = w\n", {
      a: { x: "1", y: ["p", "q"] },
      b: { z: "w" },
    });
  });

  it("returns keys outside any section in the unnamed section", () => {
    doTest("x = 1\n", { "": { x: "1" } });
  });

  function doFaultTest(text: string, line: number): void {
    assert.throws(
      () => IniDocument.parse("a.ini", text),
      (error: unknown) => error instanceof InputError && error.line === line,
    );
  }

  it("throws for input that the library would merge or nest silently", () => {
    doFaultTest("[a]\nx = 1\nx = 2\n", 3);
    doFaultTest("[a]\nx = 1\n[a]\n", 3);
    doFaultTest("[a.b]\n", 1);
    doFaultTest("[__proto__]\n", 1);
    doFaultTest("[a]\nno value\n", 2);
  });

  it("returns the line of a key, or of the heading if the key is missing", () => {
    const document = IniDocument.parse("a.ini", "; note\n[a]\n\nx = 1\n");
    assert.equal(document.getLine("a"), 2);
    assert.equal(document.getLine("a", "x"), 4);
    assert.equal(document.getLine("a", "missing"), 2);
    assert.equal(document.getLine("b"), 0);
  });
});
