/**
 * Defines the contract of the live bench.
 * @module
 */

/** The bearer key of the contract's customer. */
export const LIVE_KEY = "agencia-example-key";

/** The model of the live calls. */
export const LIVE_MODEL = "names-es";

/** The text of the contract. Its limits are too high to affect the measurement. */
export const LIVE_CONTRACT = `[contract]
customer = agencia

[keys]
sha256[] = 3280f2ad5e031ad95d6c000db199d765b8481212ecee294cd001f5272e2ba173

[engine_time]
share = 1
live_floor = 0.9
lend = yes
take_back_ms = 2000

[live]
models[] = ${LIVE_MODEL}
priority = 80
max_open_calls = 5000
max_queued_calls = 5000
max_tokens = 4096
max_body_bytes = 1048576
deadline_ms = 60000

[service echo]
idempotent = yes
max_open_calls = 5000
max_body_bytes = 1048576
deadline_ms = 60000
`;
