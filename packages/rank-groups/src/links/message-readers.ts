/** Validates messages between the agents of a group. */

import { isNumber, isObject } from '@plantaindrum/common';
import type { OrderOutcome, RankOrder } from '../types.js';
import type { EncodedMap } from './placement-cache.js';

/** Reads the outcome of an order; an invalid value counts as no answer. */
export const readOutcome = (value: unknown): OrderOutcome =>
  value === 'done' || value === 'refused' ? value : 'no-answer';

/** Reads an order without a map; undefined when it is invalid. */
export const readOrder = (value: unknown): RankOrder | undefined => {
  if (!isObject(value) || !isNumber(value.epoch)) return undefined;
  const { op, epoch, version, step } = value;
  if (op === 'arm' && isNumber(version) && isNumber(step)) return { op, epoch, version, step };
  if (op === 'disarm' && isNumber(version)) return { op, epoch, version };
  if ((op === 'hold' || op === 'go') && isNumber(step)) return { op, epoch, step };
  return undefined;
};

/** A map that a rank is to prepare or that is in use. */
export interface VersionedMap {
  epoch: number;
  version: number;
  map: EncodedMap;
}

const readMap = (value: unknown): EncodedMap | undefined => {
  if (!isObject(value) || !(value.bytes instanceof Uint8Array)) return undefined;
  const { form, base, bytes } = value;
  if (form === 'whole') return { form, bytes };
  return form === 'changes' && isNumber(base) ? { form, base, bytes } : undefined;
};

/** Reads a map with its version; undefined when it is invalid. */
export const readVersionedMap = (value: unknown): VersionedMap | undefined => {
  if (!isObject(value) || !isNumber(value.epoch) || !isNumber(value.version)) return undefined;
  const map = readMap(value.map);
  return map && { epoch: value.epoch, version: value.version, map };
};

/** Reads an order that another agent's engine is to receive; undefined when it is invalid. */
export const readOrderFor = (value: unknown): { node: string; order: RankOrder } | undefined => {
  if (!isObject(value) || typeof value.node !== 'string') return undefined;
  const order = readOrder(value.order);
  return order && { node: value.node, order };
};
