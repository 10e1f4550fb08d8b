/** Passing an upstream's answer on to its caller. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { isHopByHop } from '@plantaindrum/common';

/** The upstream's header fields without those that belong to its connection. */
export const endToEnd = (res: IncomingMessage): string[] => {
  const raw = res.rawHeaders;
  const named = (res.headers.connection ?? '').toLowerCase().split(/\s*,\s*/);
  return raw.flatMap((name, at) => {
    if (at % 2 === 1) return [];
    const lower = name.toLowerCase();
    const isOfConnection = isHopByHop(lower) || named.includes(lower);
    return isOfConnection ? [] : [name, raw[at + 1] ?? ''];
  });
};

/** Whether a name-value list has a field, by its name in lower case. */
export const hasField = (headers: readonly string[], name: string): boolean =>
  headers.some((field, at) => at % 2 === 0 && field.toLowerCase() === name);

/** Begins an answer with an upstream's status and header fields. */
export const beginAnswer = (
  res: ServerResponse,
  status: number,
  headers: readonly string[],
  isStopping: boolean,
): void => {
  const all = isStopping ? [...headers, 'Connection', 'close'] : [...headers];
  res.writeHead(status, all);
};
