/** Header fields with the parts of a prompt. */

import type { IncomingMessage } from 'node:http';

/** Header fields of a request with this prompt; the sizes of the parts don't matter to stand-ins. */
export const promptHeaders = (parts: readonly string[]): Record<string, string> => ({
  'x-prefix-hash': parts.map((part) => `${part}:40`).join(','),
  'x-token-count': '100,40',
});

/** Ids of the parts of a request's prompt. */
export const promptPartsOf = (req: IncomingMessage): string[] =>
  String(req.headers['x-prefix-hash'] ?? '')
    .split(',')
    .map((part) => part.split(':')[0] ?? '');
