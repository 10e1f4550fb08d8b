/** Checks what agents of a group say to each other before any code relies on its type. */

import { isObject } from '@plantaindrum/common';
import type { OrderOutcome, RankOrder, RankPlacement, RankReport } from '../types.js';
import type { PlacementDelta, RankChange } from './placement-deltas.js';

const isNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

const isNumbers = (value: unknown): value is number[] =>
  Array.isArray(value) && value.every(isNumber);

const optionalNumber = (value: unknown): number | undefined =>
  isNumber(value) ? value : undefined;

const readArmed = (value: unknown): RankReport['armed'] => {
  if (!isObject(value) || !isNumber(value.version) || !isNumber(value.step)) return undefined;
  return { version: value.version, step: value.step };
};

/** A rank's report; undefined when it isn't one. */
export const readReport = (value: unknown): RankReport | undefined => {
  if (!isObject(value)) return undefined;
  const { group, epoch, rank, size, isOpen, step, map } = value;
  const isSound =
    typeof group === 'string' &&
    isNumber(epoch) &&
    isNumber(rank) &&
    isNumber(size) &&
    typeof isOpen === 'boolean' &&
    isNumber(step) &&
    isNumber(map);
  if (!isSound) return undefined;
  return {
    ...{ group, epoch, rank, size, isOpen, step, map },
    startedAt: optionalNumber(value.startedAt) ?? 0,
    prepared: optionalNumber(value.prepared),
    armed: readArmed(value.armed),
    held: optionalNumber(value.held),
    pace: optionalNumber(value.pace) ?? 1,
  };
};

/** Picks of each expert; undefined when they aren't that. */
export const readPicks = (value: unknown): number[] | undefined =>
  isNumbers(value) ? value : undefined;

/** What a rank holds; undefined when it isn't that. */
export const readPlacement = (value: unknown): RankPlacement | undefined => {
  if (!isObject(value) || !isNumber(value.epoch) || !isNumber(value.version)) return undefined;
  const { epoch, version, experts } = value;
  if (!Array.isArray(experts) || !experts.every(isNumbers)) return undefined;
  return { epoch, version, experts };
};

/** The outcome of an order; anything else is no answer. */
export const readOutcome = (value: unknown): OrderOutcome =>
  value === 'done' || value === 'refused' ? value : 'no-answer';

const isPlacement = (value: unknown): value is number[][][] =>
  Array.isArray(value) &&
  value.every((ranks) => Array.isArray(ranks) && ranks.every((experts) => isNumbers(experts)));

/** An order; undefined when it isn't one. */
export const readOrder = (value: unknown): RankOrder | undefined => {
  if (!isObject(value) || !isNumber(value.epoch)) return undefined;
  const { op, epoch, version, step, placement } = value;
  if (op === 'prepare' && isNumber(version) && isPlacement(placement)) {
    return { op, epoch, version, placement };
  }
  if (op === 'arm' && isNumber(version) && isNumber(step)) return { op, epoch, version, step };
  if (op === 'disarm' && isNumber(version)) return { op, epoch, version };
  if ((op === 'hold' || op === 'go') && isNumber(step)) return { op, epoch, step };
  return undefined;
};

const isChange = (value: unknown): value is RankChange =>
  Array.isArray(value) &&
  value.length === 3 &&
  isNumber(value[0]) &&
  isNumber(value[1]) &&
  isNumbers(value[2]);

/** A preparation whose map is told as a difference. */
export interface DeltaOrder {
  epoch: number;
  version: number;
  delta: PlacementDelta;
}

/** A preparation by difference; undefined when it isn't one. */
export const readDeltaOrder = (value: unknown): DeltaOrder | undefined => {
  if (!isObject(value)) return undefined;
  const { epoch, version, base, changes } = value;
  if (!isNumber(epoch) || !isNumber(version) || !isNumber(base)) return undefined;
  if (!Array.isArray(changes) || !changes.every(isChange)) return undefined;
  return { epoch, version, delta: { base, changes } };
};

/** An order that an agent asks another to give to its own engine; undefined when it isn't that. */
export const readOrderFor = (value: unknown): { node: string; order: RankOrder } | undefined => {
  if (!isObject(value) || typeof value.node !== 'string') return undefined;
  const order = readOrder(value.order);
  return order && { node: value.node, order };
};
