/**
 * Encoding of load updates on links. An update names a few upstreams in 60 ms, and their names were most of its bytes: a
 * sender numbers the upstreams, and tells its peers the name of each once.
 */

import { isNumber, isObject } from '@plantaindrum/common';
import type { LoadUpdate } from './load-broadcast.js';

/** Numbers the upstreams of one sender; every encoded update has to be sent to all peers, in order. */
export interface LoadEncoder {
  encode(update: LoadUpdate): unknown;
  /** Encodes an update for a peer that is newly linked, with the names of all numbers. */
  encodeForNewPeer(update: LoadUpdate): unknown;
}

/** Decodes the updates of one peer; values of other forms are returned as they are, for validation. */
export type DecodeLoad = (value: unknown) => unknown;

/** Numbers in use, after which numbering starts again; bounds the memory of sender and peers. */
const MAX_NUMBERS = 4_096;

/** Creates the encoder of a sender that has numbered no upstream. */
export const createLoadEncoder = (): LoadEncoder => {
  let numbers = new Map<string, number>();

  const encode = (
    { isWhole, counts, ...rest }: LoadUpdate,
    initialNames: readonly (number | string)[] = [],
  ): unknown => {
    const names = [...initialNames];
    const numberOf = (instance: string): number => {
      const known = numbers.get(instance);
      if (known !== undefined) return known;
      if (numbers.size >= MAX_NUMBERS) numbers = new Map();
      const number = numbers.size;
      numbers.set(instance, number);
      names.push(number, instance);
      return number;
    };
    const pairs = Object.entries(counts).flatMap(([instance, n]) => [numberOf(instance), n]);
    return { ...rest, w: isWhole, c: pairs, ...(names.length > 0 && { n: names }) };
  };

  return {
    encode: (update) => encode(update),
    encodeForNewPeer: (update) =>
      encode(
        update,
        [...numbers].flatMap(([instance, number]) => [number, instance]),
      ),
  };
};

/** Creates the decoder of a peer that has named no upstream. */
export const createLoadDecoder = (): DecodeLoad => {
  const instances = new Map<number, string>();

  const addNames = (names: readonly unknown[]): void => {
    names.forEach((number, at) => {
      const instance = names[at + 1];
      if (at % 2 === 1 || !isNumber(number) || typeof instance !== 'string') return;
      if (number < MAX_NUMBERS) instances.set(number, instance);
    });
  };

  return (value) => {
    if (!isObject(value) || !Array.isArray(value.c)) return value;
    const { w: isWhole, c: pairs, n: names, ...rest } = value;
    if (Array.isArray(names)) addNames(names);
    const counts: Record<string, unknown> = {};
    (pairs as unknown[]).forEach((number, at, all) => {
      const instance = at % 2 === 0 && isNumber(number) ? instances.get(number) : undefined;
      // A number without a name is of an upstream that the next full update names.
      if (instance !== undefined) counts[instance] = all[at + 1];
    });
    return { ...rest, isWhole, counts };
  };
};
