import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpService } from "@briarhill/ports/service/http_service";
import type { Service } from "@briarhill/ports/service/service";
import { FakeService } from "../../src/service/fake_service.ts";
import { FakeServiceServer } from "../../src/service/fake_service_server.ts";
import type { ContractCall } from "../contract_subject.ts";
import { testPort } from "../contract_table.ts";

async function* createBody(text: string): AsyncIterable<Uint8Array> {
  yield Buffer.from(text);
}

async function callOnce(port: Service, number: number): Promise<unknown> {
  const answer = await port.call({
    method: "POST",
    path: `/entries?x=${number}`,
    headers: { "idempotency-key": `k${number}` },
    body: createBody(`ñandú ${number}`),
  });
  const parts: Uint8Array[] = [];
  for await (const part of answer.body) {
    parts.push(part);
  }
  const text = Buffer.concat(parts).toString("utf8");
  return { status: answer.status, ...JSON.parse(text) };
}

function listCalls(service: FakeService): readonly ContractCall<Service>[] {
  return [{
    operation: "call",
    call: callOnce,
    getExpected: (number) => ({
      status: 200,
      key: `k${number}`,
      method: "POST",
      path: `/entries?x=${number}`,
      body: `ñandú ${number}`,
      number: 1 +
        service.getExecutions().findIndex(({ key }) => key === `k${number}`),
    }),
    countEffects: () => service.getExecutions().length,
  }, {
    operation: "getLoad",
    prepare: (number) => number > 0 ? service.setLeaving() : undefined,
    call: (port) => port.getLoad(),
    getExpected: (number) => ({ running: 0, slots: 32, leaving: number > 0 }),
  }];
}

testPort({
  createFake: () => new FakeService(new SystemClock()),
  createServer: (service) => new FakeServiceServer(service),
  createAdapter: (address, settings) => new HttpService(address, settings),
  listCalls,
});
