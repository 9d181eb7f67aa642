/**
 * Every failure of briarhill has a class here. `throwIf…` helpers live beside it in `throw_if.ts`.
 * @module
 */
import ModernError from "modern-errors";
import type { Outcome } from "../ids/ids.ts";

/** The parent of all errors thrown by briarhill. */
export const BriarhillError = ModernError.subclass("BriarhillError", {
  props: { outcome: "not-run" as Outcome },
});
export type BriarhillError = InstanceType<typeof BriarhillError>;

/** A program fault: a state that the code holds to be impossible. */
export const StateError = BriarhillError.subclass("StateError");
export type StateError = InstanceType<typeof StateError>;

/** Input from outside that does not have the expected form. */
export const InputError = BriarhillError.subclass("InputError", {
  props: { file: "", line: 0, section: "", key: "" },
});
export type InputError = InstanceType<typeof InputError>;

/** A settings file that fails its checks. */
export const SettingsError = InputError.subclass("SettingsError");
export type SettingsError = InstanceType<typeof SettingsError>;

/** A contract that fails its checks. */
export const ContractError = InputError.subclass("ContractError");
export type ContractError = InstanceType<typeof ContractError>;

/** A change that was based on an older revision than the one in force. */
export const RevisionConflictError = BriarhillError.subclass(
  "RevisionConflictError",
  {
    props: { basedOn: 0, inForce: 0 },
  },
);
export type RevisionConflictError = InstanceType<typeof RevisionConflictError>;

/** Something named by a request does not exist. */
export const NotFoundError = BriarhillError.subclass("NotFoundError");
export type NotFoundError = InstanceType<typeof NotFoundError>;

/** A caller whose key is missing or unknown. */
export const AuthenticationError = BriarhillError.subclass(
  "AuthenticationError",
);
export type AuthenticationError = InstanceType<typeof AuthenticationError>;

/** A caller whose contract does not allow the request. */
export const PermissionError = BriarhillError.subclass("PermissionError");
export type PermissionError = InstanceType<typeof PermissionError>;

/** A request that was refused before it ran; it may be repeated after `retryAfterMs`. */
export const RefusedError = BriarhillError.subclass("RefusedError", {
  props: { retryAfterMs: 0, reason: "overload" },
});
export type RefusedError = InstanceType<typeof RefusedError>;

/** How a call through a port failed. */
export type PortFault =
  | "refused"
  | "reset"
  | "silent"
  | "malformed"
  | "rejected"
  | "cancelled"
  | "incomplete"
  | "oversized";

/** A call to the outside that failed; `outcome` says whether it may have taken effect. */
export const PortError = BriarhillError.subclass("PortError", {
  props: {
    port: "",
    operation: "",
    fault: "refused" as PortFault,
    retryAfterMs: 0,
  },
});
export type PortError = InstanceType<typeof PortError>;

/** An order that an endpoint refused because it carried an old fencing number. */
export const FencedError = PortError.subclass("FencedError");
export type FencedError = InstanceType<typeof FencedError>;

/** A deadline that passed before the answer was whole. */
export const DeadlineError = BriarhillError.subclass("DeadlineError");
export type DeadlineError = InstanceType<typeof DeadlineError>;

/** A lot whose id was handed in before with other content. */
export const LotConflictError = BriarhillError.subclass("LotConflictError");
export type LotConflictError = InstanceType<typeof LotConflictError>;

/** A repeat of a non-idempotent call whose first run can't be answered for. */
export const RepeatedCallError = BriarhillError.subclass("RepeatedCallError");
export type RepeatedCallError = InstanceType<typeof RepeatedCallError>;

/** An append whose condition did not hold, as the partition ends elsewhere; nothing was appended. */
export const AppendConflictError = PortError.subclass("AppendConflictError", {
  props: { endOffset: 0 },
});
export type AppendConflictError = InstanceType<typeof AppendConflictError>;

/** A read of records that the log has deleted. */
export const TrimmedLogError = PortError.subclass("TrimmedLogError", {
  props: { firstOffset: 0 },
});
export type TrimmedLogError = InstanceType<typeof TrimmedLogError>;
