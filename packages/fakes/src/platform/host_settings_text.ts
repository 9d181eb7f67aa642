/**
 * The settings text of a host that runs against the stand-ins.
 * @module
 */

/** Options of {@link createHostSettings}. */
export interface HostSettingsOptions {
  readonly name: string;
  readonly ip: string;
  /** The store's address, as IP:PORT. */
  readonly store: string;
  /** The first of four consecutive free ports. */
  readonly port: number;
}

/**
 * Returns the settings of a host as INI text.
 *
 * @example
 * ```ts
 * const text = createHostSettings({
 *   name: "host-0",
 *   ip: "127.0.0.2",
 *   store: "127.0.0.1:9100",
 *   port: 9101,
 * });
 * ```
 * @param options - The addresses of the host and its store.
 */
export function createHostSettings(options: HostSettingsOptions): string {
  const { name, ip, store, port } = options;
  return `[host]
name = ${name}
failure_domain = a
ip = ${ip}
cores = 1
memory_mb = 256
[listen]
callers = ${ip}:${port}
health = ${ip}:${port + 1}
peers = ${ip}:${port + 2}
metrics = ${ip}:${port + 3}
seeds = 127.0.0.2:1,127.0.0.3:1
[store]
address = ${store}
partitions = 24
record_bytes = 262144
group_ttl_min_ms = 1000
[bounds]
grace_s = 8
lease_ms = 3000
status_s = 120
`;
}
