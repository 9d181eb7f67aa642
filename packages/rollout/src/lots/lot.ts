/**
 * The lot aggregate: what a trainer requests, validated against its customer's
 * contract.
 * @module
 */
import { createHash } from "node:crypto";
import {
  InputError,
  LotConflictError,
  PermissionError,
} from "@briarhill/common/errors/errors";
import { throwIfNotInteger } from "@briarhill/common/errors/throw_if";
import type { TrainingStructure } from "@briarhill/contract/contract/contract_structure";
import type { LotStructure, SlotStructure } from "./lot_structure.ts";

const MAX_DEADLINE_MS = 86_400_000;
const LOT_ID = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,127}$/;

/** A lot that has been validated against its customer's contract. */
export class Lot {
  /** The plain form of the lot. */
  readonly structure: LotStructure;
  /**
   * SHA-256 of the content; two lots with one id are the same only if their
   * digests are equal.
   */
  readonly digest: string;

  private constructor(structure: LotStructure) {
    this.structure = structure;
    this.digest = computeDigest(structure);
  }

  /**
   * Validates a lot against the contract's terms for training.
   *
   * @param structure - The lot as the trainer submitted it.
   * @param training - The contract's terms for training.
   */
  static create(structure: LotStructure, training: TrainingStructure): Lot {
    throwIfMalformed(structure, training);
    if (!training.models.includes(structure.model)) {
      throw new PermissionError(
        `the contract of customer "${structure.customer}" does not allow ` +
          `training with model "${structure.model}"`,
      );
    }
    return new Lot(structure);
  }

  /**
   * Restores a lot that another host has already validated.
   *
   * @param structure - The lot's plain form.
   */
  static createUnchecked(structure: LotStructure): Lot {
    return new Lot(structure);
  }

  /** Returns the number of samples in the lot. */
  getSampleCount(): number {
    return this.structure.groups.length * this.structure.samplesPerGroup;
  }

  /**
   * Lists a key for the prompt of each group; equal prompts have the same key
   * in every lot.
   */
  listPromptKeys(): readonly string[] {
    return this.structure.groups.map(({ prompt }) =>
      createHash("sha256").update(prompt).digest("base64url")
    );
  }

  /**
   * Returns one of the samples of the lot.
   *
   * @param slot - The number of the sample, from 0.
   */
  getSlotOrThrow(slot: number): SlotStructure {
    const { groups, samplesPerGroup } = this.structure;
    const group = groups[Math.floor(slot / samplesPerGroup)];
    if (group === undefined) {
      throw new InputError(
        `slot ${slot} is out of range for lot "${this.structure.id}" with ` +
          `${this.getSampleCount()} samples`,
      );
    }
    return { slot, group, indexInGroup: slot % samplesPerGroup };
  }

  /**
   * Throws a {@link LotConflictError} unless a digest equals that of this lot.
   *
   * @param digest - The digest of the lot that is known under the same id.
   */
  throwIfDigestDiffers(digest: string): void {
    if (digest !== this.digest) {
      throw new LotConflictError(
        `lot "${this.structure.id}" was submitted before with different content`,
      );
    }
  }
}

function throwIfMalformed(
  structure: LotStructure,
  training: TrainingStructure,
): void {
  const { groups, samplesPerGroup, sampling } = structure;
  const integers: readonly (readonly [string, number, number, number])[] = [
    ["step", structure.step, 0, Number.MAX_SAFE_INTEGER],
    ["deadlineMs", structure.deadlineMs, 1, MAX_DEADLINE_MS],
    ["samplesPerGroup", samplesPerGroup, 1, training.maxSamplesPerLot],
    ["groups", groups.length, 1, training.maxSamplesPerLot],
    [
      "samples",
      groups.length * samplesPerGroup,
      1,
      training.maxSamplesPerLot,
    ],
    ["maxTokens", sampling.maxTokens, 1, training.maxTokens],
  ];
  for (const [name, value, min, max] of integers) {
    throwIfNotInteger(value, { name, min, max });
  }
  if (!LOT_ID.test(structure.id)) {
    throw new InputError(
      `lot id "${structure.id}" must start with a letter or digit and have up to ` +
        `128 letters, digits, "_", "." or "-"`,
    );
  }
  const ids = new Set(groups.map((group) => group.id));
  if (ids.size !== groups.length) {
    throw new InputError(
      `lot "${structure.id}" has two groups with the same id`,
    );
  }
}

function computeDigest(structure: LotStructure): string {
  const { sampling } = structure;
  const content = [
    structure.id,
    structure.customer,
    structure.model,
    structure.adapter ?? null,
    structure.step,
    structure.samplesPerGroup,
    structure.deadlineMs,
    sampling.temperature,
    sampling.topP,
    sampling.maxTokens,
    sampling.seed ?? null,
    sampling.stop ?? null,
    structure.groups.map((group) => [group.id, group.prompt]),
  ];
  return createHash("sha256").update(JSON.stringify(content)).digest("hex");
}
