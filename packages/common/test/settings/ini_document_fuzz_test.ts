import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { InputError } from "../../src/errors/errors.ts";
import { IniDocument } from "../../src/settings/ini_document.ts";

const SEED = 20_261;
const RUNS = 2000;
const CORPUS: readonly string[] = [
  "[a]",
  "[a",
  "a]",
  "[]",
  "[ a ]",
  "[a.b]",
  "[__proto__]",
  "[constructor]",
  "[toString]",
  "__proto__ = x",
  "__proto__[] = x",
  "constructor = x",
  "prototype[] = y",
  "key = value",
  "key[] = value",
  "key[]",
  "key",
  "= value",
  "key = ",
  "key = 'quoted ; text'",
  'key = "broken',
  'key = {"a":1}',
  "key = null",
  "key = true",
  "; comment",
  "# comment",
  "key = a ; b",
  "key = a \\; b",
  "\u0000",
  "\ufeff[a]",
  "clé = é",
  "x = \ud800",
  "a=b=c",
  "\t",
];

/**
 * Generates texts of corpus lines and arbitrary lines, separated by arbitrary
 * line ends.
 */
function createTexts(): fc.Arbitrary<string> {
  const line = fc.oneof(
    fc.constantFrom(...CORPUS),
    fc.string({ unit: "binary", maxLength: 40 }),
    fc.tuple(fc.constantFrom(...CORPUS), fc.constantFrom(...CORPUS))
      .map(([a, b]) => a + b),
  );
  const end = fc.constantFrom("\n", "\r\n", "\r", "\n\n", "");
  return fc.array(fc.tuple(line, end), { maxLength: 12 })
    .map((lines) => lines.flat().join(""));
}

describe("IniDocument.parse", () => {
  it("parses any text or throws an InputError with a line number", () => {
    fc.assert(
      fc.property(createTexts(), (text) => {
        let document: IniDocument;
        try {
          document = IniDocument.parse("a.ini", text);
        } catch (error) {
          assert(error instanceof InputError, String(error));
          assert(error.line >= 1);
          return;
        }
        for (const name of document.getSectionNames()) {
          const section = document.getSection(name) ?? {};
          for (const value of Object.values(section)) {
            assert([value].flat().every((part) => typeof part === "string"));
          }
        }
        assert.equal(Object.keys(Object.prototype).length, 0);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
