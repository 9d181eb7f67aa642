import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { shouldTakeDuties } from "../../src/membership/duty_share.ts";

describe("shouldTakeDuties", () => {
  function testDuties(
    name: string,
    input: Parameters<typeof shouldTakeDuties>[0],
    expected: boolean,
  ): void {
    it(name, () => assert.equal(shouldTakeDuties(input), expected));
  }

  const small = { cores: 0.324, isMember: false, members: 20 };
  testDuties("leaves duties to larger hosts", small, false);
  testDuties("takes them where few do", { ...small, members: 2 }, true);
  testDuties("keeps them once taken", { ...small, isMember: true }, true);
  testDuties("takes them at once on a large host", {
    ...small,
    cores: 0.675,
  }, true);
});
