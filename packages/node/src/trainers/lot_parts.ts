/**
 * Splits lots into parts that fit into messages between hosts, and assembles them.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { takeWithinMessageLimit } from "@briarhill/rollout/assignment/message_limit";
import type {
  GroupStructure,
  LotStructure,
} from "@briarhill/rollout/lots/lot_structure";
import { getLotKey } from "./lot_name.ts";

/** One part of a lot, with a consecutive range of its groups. */
export interface LotPart {
  readonly lot: LotStructure;
  readonly part: number;
  readonly parts: number;
}

/**
 * Splits a lot into parts within the message limit.
 *
 * @example
 * ```ts
 * for (const part of listLotParts(structure)) {
 *   await peers.call(host, { procedure: "lots.keep", input: part, timeoutMs });
 * }
 * ```
 * @param structure - The lot.
 */
export function listLotParts(structure: LotStructure): readonly LotPart[] {
  const parts: (readonly GroupStructure[])[] = [];
  for (let at = 0; at < structure.groups.length;) {
    const groups = takeWithinMessageLimit(
      structure.groups.slice(at),
      ({ id, prompt }) => id.length + prompt.length,
    );
    parts.push(groups);
    at += groups.length;
  }
  return parts.map((groups, part) => ({
    lot: { ...structure, groups },
    part,
    parts: parts.length,
  }));
}

/** Assembles lots from their parts. */
export class LotParts {
  readonly #groups = new Map<string, readonly GroupStructure[][]>();

  /**
   * Adds a part and returns the lot once it is complete. Rejects a part that is out
   * of order; part 0 restarts the lot.
   *
   * @param added - The part.
   */
  addPart({ lot, part, parts }: LotPart): LotStructure | undefined {
    const key = getLotKey(lot);
    const before = part === 0 ? [] : this.#groups.get(key) ?? [];
    if (before.length !== part) {
      throw new InputError(
        `received part ${part} of lot "${lot.id}", expected part ${before.length}`,
      );
    }
    const known = [...before, [...lot.groups]];
    if (known.length < parts) {
      this.#groups.set(key, known);
      return undefined;
    }
    this.#groups.delete(key);
    return { ...lot, groups: known.flat() };
  }
}
