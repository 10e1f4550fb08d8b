/** Checks what agents of a group say to each other before any code relies on its type. */

import { isNumber, isObject } from '@plantaindrum/common';
import type { OrderOutcome, RankOrder } from '../types.js';
import type { ToldMap } from './placement-deltas.js';

/** The outcome of an order; anything else is no answer. */
export const readOutcome = (value: unknown): OrderOutcome =>
  value === 'done' || value === 'refused' ? value : 'no-answer';

/** An order without a map; undefined when it isn't one. */
export const readOrder = (value: unknown): RankOrder | undefined => {
  if (!isObject(value) || !isNumber(value.epoch)) return undefined;
  const { op, epoch, version, step } = value;
  if (op === 'arm' && isNumber(version) && isNumber(step)) return { op, epoch, version, step };
  if (op === 'disarm' && isNumber(version)) return { op, epoch, version };
  if ((op === 'hold' || op === 'go') && isNumber(step)) return { op, epoch, step };
  return undefined;
};

/** A map that a rank is to prepare, or that is in use. */
export interface ToldPlacement {
  epoch: number;
  version: number;
  map: ToldMap;
}

const readMap = (value: unknown): ToldMap | undefined => {
  if (!isObject(value) || !(value.bytes instanceof Uint8Array)) return undefined;
  const { form, base, bytes } = value;
  if (form === 'whole') return { form, bytes };
  return form === 'changes' && isNumber(base) ? { form, base, bytes } : undefined;
};

/** A map with its version; undefined when it isn't one. */
export const readPreparation = (value: unknown): ToldPlacement | undefined => {
  if (!isObject(value) || !isNumber(value.epoch) || !isNumber(value.version)) return undefined;
  const map = readMap(value.map);
  return map && { epoch: value.epoch, version: value.version, map };
};

/** An order that an agent asks another to give to its own engine; undefined when it isn't that. */
export const readOrderFor = (value: unknown): { node: string; order: RankOrder } | undefined => {
  if (!isObject(value) || typeof value.node !== 'string') return undefined;
  const order = readOrder(value.order);
  return order && { node: value.node, order };
};
