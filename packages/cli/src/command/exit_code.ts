/**
 * The exit codes of the `briarhill` command. Operators' scripts depend on the
 * numbers, so a code must retain its meaning.
 * @module
 */
import {
  InputError,
  NotFoundError,
  PortError,
} from "@briarhill/common/errors/errors";

/** The exit codes; `docs/operations/cli.md` describes each of them. */
export const ExitCode = {
  Done: 0,
  Usage: 1,
  Faults: 2,
  Conflict: 3,
  NotRun: 4,
  Unknown: 5,
  Lagging: 6,
  Unreachable: 7,
  NotFound: 8,
} as const;

/** An exit code of the `briarhill` command. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** The list of exit codes at the end of each command's help text. */
export const EXIT_CODE_HELP = `Exit codes:

- 0: success
- 1: invalid command line
- 2: faults in a file, a setting, a value or a declaration
- 3: conflict: the change is not based on the revision in force
- 4: the log did not accept the change; the configuration is unchanged
- 5: it is unknown whether the log accepted the change
- 6: some nodes lag behind the newest revision, or their revision is unknown
- 7: the log or a node is unreachable
- 8: the customer or the configuration was not found`;

/**
 * Returns the exit code of an expected error, or undefined when the error is a
 * fault of the program.
 *
 * @example
 * ```ts
 * process.exitCode = getExitCode(error);
 * ```
 * @param error - The error that a command threw.
 */
export function getExitCode(error: unknown): ExitCode | undefined {
  if (error instanceof InputError) {
    return ExitCode.Faults;
  }
  if (error instanceof NotFoundError) {
    return ExitCode.NotFound;
  }
  return error instanceof PortError ? ExitCode.Unreachable : undefined;
}
