import { isObject } from '@plantaindrum/common';

/** Reads a list of objects from a peer's note; undefined where one is unsound or there are more than `most`. */
export const readList = <Entry>(
  value: unknown,
  most: number,
  isSound: (entry: Record<string, unknown>) => boolean,
): Entry[] | undefined => {
  if (!Array.isArray(value) || value.length > most) return undefined;
  const all = value as unknown[];
  return all.every((entry) => isObject(entry) && isSound(entry)) ? (value as Entry[]) : undefined;
};
