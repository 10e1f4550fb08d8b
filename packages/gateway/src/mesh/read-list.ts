import { isObject } from '@plantaindrum/common';

/** Reads a list of objects from a peer's note; undefined if an entry is invalid or there are more than `maxLength`. */
export const readList = <Entry>(
  value: unknown,
  maxLength: number,
  isValid: (entry: Record<string, unknown>) => boolean,
): Entry[] | undefined => {
  if (!Array.isArray(value) || value.length > maxLength) return undefined;
  const list = value as unknown[];
  return list.every((entry) => isObject(entry) && isValid(entry)) ? (value as Entry[]) : undefined;
};
