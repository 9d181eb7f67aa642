/**
 * Options of the peer network, and the context that its parts share.
 * @module
 */
import type { FailureDomain, HostId, Region } from "@briarhill/common/ids/ids";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { MembershipOptions } from "@briarhill/control/membership/membership_options";
import type { ListenAddress } from "../settings/node_settings.ts";
import type { PeerAuthenticator } from "./peer_authenticator.ts";
import type { PeerResponder } from "./peer_router.ts";
import type { TrafficMeter } from "./traffic_meter.ts";

/** Options of `TrpcPeerNetwork`. */
export interface PeerNetworkSetup {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly region: Region;
  readonly listen: ListenAddress;
  /** The address that peers dial, if it differs from the listen address. */
  readonly advertisedAddress?: string;
  /** Addresses of the hosts that this host joins through. */
  readonly seeds: readonly string[];
  /** The shared keys: the first one signs, proofs made with any of them are accepted. */
  readonly keys: readonly string[];
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly logger: Logger;
  readonly options: MembershipOptions;
  /** Called when a process of this host with a later incarnation has been observed. */
  readonly onSuperseded?: () => void;
}

/** The services that the parts of the peer network share. */
export interface PeerContext {
  readonly meter: TrafficMeter;
  readonly authenticator: PeerAuthenticator;
  readonly clock: Clock;
  readonly responder: PeerResponder;
}
