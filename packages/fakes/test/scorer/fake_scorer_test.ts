import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpScorer } from "@briarhill/ports/scorer/http_scorer";
import { FakeScorer } from "../../src/scorer/fake_scorer.ts";
import { FakeScorerServer } from "../../src/scorer/fake_scorer_server.ts";
import { testPort } from "../contract_table.ts";

const TEXTS = ["t", "u", "v"];
const SCORES = [0.267, 0.648, 0.505];

testPort({
  createFake: () => new FakeScorer(new SystemClock()),
  createServer: (scorer) => new FakeScorerServer(scorer),
  createAdapter: (address, settings) => new HttpScorer(address, settings),
  listCalls: (scorer) => [{
    operation: "score",
    call: (port, number) =>
      port.score({
        sampleId: `a/${number}`,
        prompt: "p",
        text: TEXTS[number] ?? "",
      }),
    getExpected: (number) => ({
      sampleId: `a/${number}`,
      score: SCORES[number],
    }),
    countEffects: () =>
      [...scorer.getCounts().values()].reduce((sum, count) => sum + count, 0),
  }],
});
