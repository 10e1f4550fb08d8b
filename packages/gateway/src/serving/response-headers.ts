/** Header fields of an upstream's response that are forwarded to the caller. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { connectionOptions, isHopByHop } from '@plantaindrum/common';

/** Returns a response's header fields, as names and values in turn, without the hop-by-hop ones. */
export const endToEnd = (res: IncomingMessage): string[] => {
  const raw = res.rawHeaders;
  const named = connectionOptions(res.headers.connection);
  return raw.flatMap((name, index) => {
    if (index % 2 === 1) return [];
    const lower = name.toLowerCase();
    const isConnectionHeader = isHopByHop(lower) || named.has(lower);
    return isConnectionHeader ? [] : [name, raw[index + 1] ?? ''];
  });
};

/** Whether a list of names and values has a field; `name` is in lower case. */
export const hasField = (headers: readonly string[], name: string): boolean =>
  headers.some((field, index) => index % 2 === 0 && field.toLowerCase() === name);

/** Sends the head of a response with an upstream's status and header fields. */
export const sendHead = (
  res: ServerResponse,
  status: number,
  headers: readonly string[],
  isStopping: boolean,
): void => {
  const allHeaders = isStopping ? [...headers, 'Connection', 'close'] : [...headers];
  res.writeHead(status, allHeaders);
};
