import type { IncomingMessage } from 'node:http';
import type { Refusal, Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';

/**
 * Multiple of the limit that is read and discarded, so that the caller can finish sending and read
 * the refusal, before the connection is destroyed.
 */
const DISCARD_LIMIT_FACTOR = 8;

const tooLarge = (limit: number): Refusal => ({ reason: 'body-too-large', data: { limit } });

const discardRest = (req: IncomingMessage, limit: number): void => {
  let discarded = 0;
  req.on('data', (data: Buffer) => {
    discarded += data.length;
    if (discarded > limit * DISCARD_LIMIT_FACTOR) req.destroy();
  });
};

/** Reads a request body of at most `limit` bytes; undefined when the caller disconnected. */
export const readBody = async (
  req: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, Refusal> | undefined> => {
  if (Number(req.headers['content-length'] ?? 0) > limit) {
    discardRest(req, limit);
    return fail(tooLarge(limit));
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    const onData = (data: Buffer): void => {
      parts.push(data);
      length += data.length;
      if (length <= limit) return;
      req.off('data', onData);
      discardRest(req, limit);
      resolve(fail(tooLarge(limit)));
    };
    req.on('data', onData);
    req.once('end', () => resolve(ok(Buffer.concat(parts))));
    req.once('error', () => resolve(undefined));
    req.once('close', () => resolve(undefined));
  });
};
