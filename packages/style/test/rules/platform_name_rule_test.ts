import { describe } from "node:test";
import { PlatformNameRule } from "../../src/rules/platform_name_rule.ts";
import { testRule } from "../rule_table.ts";

describe("PlatformNameRule", () => {
  testRule(new PlatformNameRule(), [
    {
      name: "other texts",
      text: 'const a = "briarhill_calls";',
      violations: 0,
    },
    { name: "a header", text: 'const a = "X-Briarhill-Model";', violations: 1 },
    {
      name: "a path",
      text: "const a = `/briarhill/lots/${b}`;",
      violations: 1,
    },
    { name: "a topic", text: 'const a = "keyed.op";', violations: 1 },
    { name: "a field", text: 'const a = "fencingToken";', violations: 1 },
  ]);
});
