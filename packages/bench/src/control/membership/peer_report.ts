/**
 * Defines the costs that a peer process reports, counted from its start.
 * @module
 */
import type { Traffic } from "@briarhill/node/peers/traffic_meter";

/** The costs of one peer process. */
export interface PeerReport extends Traffic {
  /** Members that the process considers alive, including itself. */
  readonly alive: number;
  /** Open links that carry gossip. */
  readonly links: number;
  readonly cpuUs: number;
  /** Heap growth since before the start of the network. */
  readonly heapBytes: number;
  readonly rssBytes: number;
}

/** TCP and IP headers of one segment, without options. */
const HEADER_BYTES = 40;
/** Segments that open and close one connection. */
const SOCKET_SEGMENTS = 7;

/**
 * Returns an upper bound of the bytes on the wire, in and out: the bytes of the
 * sockets, the headers, and a separate acknowledgement for each message.
 *
 * @example
 * ```ts
 * const bytes = computeWireBytes(report);
 * ```
 * @param report - A report, or the traffic of other sockets.
 */
export function computeWireBytes(report: Traffic): number {
  const messages = report.messagesIn + report.messagesOut;
  return report.bytesIn + report.bytesOut + messages * 2 * HEADER_BYTES +
    report.sockets * SOCKET_SEGMENTS * HEADER_BYTES;
}
