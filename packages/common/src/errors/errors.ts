/**
 * The error classes of briarhill. The names of the classes are sent to callers
 * and must not change. Checks that throw them are in `throw_if.ts`.
 * @module
 */
import ModernError from "modern-errors";
import type { Outcome } from "../ids/ids.ts";

/** The base class of all errors thrown by briarhill. */
export const BriarhillError = ModernError.subclass("BriarhillError", {
  props: { outcome: "not-run" as Outcome },
});
export type BriarhillError = InstanceType<typeof BriarhillError>;

/** A violated invariant, which is a bug in briarhill. */
export const StateError = BriarhillError.subclass("StateError");
export type StateError = InstanceType<typeof StateError>;

/** External input that fails validation. */
export const InputError = BriarhillError.subclass("InputError", {
  props: { file: "", line: 0, section: "", key: "" },
});
export type InputError = InstanceType<typeof InputError>;

/** Bytes of a server that are no HTTP response. */
export const ResponseSyntaxError = InputError.subclass("ResponseSyntaxError");
export type ResponseSyntaxError = InstanceType<typeof ResponseSyntaxError>;

/** A settings file that fails validation, or settings that can't be applied. */
export const SettingsError = InputError.subclass("SettingsError");
export type SettingsError = InstanceType<typeof SettingsError>;

/** A contract that fails validation. */
export const ContractError = InputError.subclass("ContractError");
export type ContractError = InstanceType<typeof ContractError>;

/** A change that is based on an older revision than the one in force. */
export const RevisionConflictError = BriarhillError.subclass(
  "RevisionConflictError",
  {
    props: { basedOn: 0, inForce: 0 },
  },
);
export type RevisionConflictError = InstanceType<typeof RevisionConflictError>;

/** A request that names a resource that does not exist. */
export const NotFoundError = BriarhillError.subclass("NotFoundError");
export type NotFoundError = InstanceType<typeof NotFoundError>;

/** A request whose bearer key is missing or unknown. */
export const AuthenticationError = BriarhillError.subclass(
  "AuthenticationError",
);
export type AuthenticationError = InstanceType<typeof AuthenticationError>;

/** A request that the caller's contract does not allow. */
export const PermissionError = BriarhillError.subclass("PermissionError");
export type PermissionError = InstanceType<typeof PermissionError>;

/**
 * A request that was refused before it ran; the caller may retry it after
 * `retryAfterMs`.
 */
export const RefusedError = BriarhillError.subclass("RefusedError", {
  props: { retryAfterMs: 0, reason: "overload" },
});
export type RefusedError = InstanceType<typeof RefusedError>;

/** The way in which a call to an external system failed. */
export type PortFault =
  | "refused"
  | "reset"
  | "silent"
  | "malformed"
  | "rejected"
  | "cancelled"
  | "incomplete"
  | "oversized"
  /** The response gave way to others, as the process had no room for all of them. */
  | "no-room"
  /** The request itself can't be sent by the protocol, whatever the server. */
  | "unsendable";

/**
 * A failed call to an external system; `outcome` states whether it may have
 * taken effect.
 */
export const PortError = BriarhillError.subclass("PortError", {
  props: {
    port: "",
    operation: "",
    fault: "refused" as PortFault,
    retryAfterMs: 0,
  },
});
export type PortError = InstanceType<typeof PortError>;

/** An order that an endpoint rejected because its fencing number is stale. */
export const FencedError = PortError.subclass("FencedError");
export type FencedError = InstanceType<typeof FencedError>;

/** A deadline that passed before the response was complete. */
export const DeadlineError = BriarhillError.subclass("DeadlineError");
export type DeadlineError = InstanceType<typeof DeadlineError>;

/** A lot whose id was submitted before with different content. */
export const LotConflictError = BriarhillError.subclass("LotConflictError");
export type LotConflictError = InstanceType<typeof LotConflictError>;

/** A repeat of a non-idempotent call whose first attempt has an unknown outcome. */
export const RepeatedCallError = BriarhillError.subclass("RepeatedCallError");
export type RepeatedCallError = InstanceType<typeof RepeatedCallError>;

/**
 * A conditional append that found another end offset in the partition; nothing
 * was appended.
 */
export const AppendConflictError = PortError.subclass("AppendConflictError", {
  props: { endOffset: 0 },
});
export type AppendConflictError = InstanceType<typeof AppendConflictError>;

/** A read at an offset whose records the log has deleted. */
export const TrimmedLogError = PortError.subclass("TrimmedLogError", {
  props: { firstOffset: 0 },
});
export type TrimmedLogError = InstanceType<typeof TrimmedLogError>;
