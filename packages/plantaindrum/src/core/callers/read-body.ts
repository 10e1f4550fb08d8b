import type { IncomingMessage } from 'node:http';
import type { Clock, Refusal, Result } from '@plantaindrum/common';
import {
  createBodyReader,
  createByteBuffer,
  createOverheadCheck,
  fail,
  ok,
} from '@plantaindrum/common';

/**
 * Multiple of the limit that is read and discarded, so that the caller can finish sending and read
 * the refusal, before the connection is destroyed.
 */
const DISCARD_LIMIT_FACTOR = 8;

const tooLarge = (limit: number): Refusal => ({ reason: 'body-too-large', data: { limit } });

/** Reads a request body of at most `limit` bytes; undefined when the caller disconnected. */
export const readBody = (
  req: IncomingMessage,
  limit: number,
  clock: Clock,
): Promise<Result<Buffer, Refusal> | undefined> =>
  new Promise((resolve) => {
    const body = createByteBuffer();
    const hasExcessFraming = createOverheadCheck(req.socket);
    const reader = createBodyReader(req, clock);
    let isTooLarge = Number(req.headers['content-length'] ?? 0) > limit;
    if (isTooLarge) resolve(fail(tooLarge(limit)));
    reader.forwardTo((bytes) => {
      const received = reader.receivedBytes();
      isTooLarge ||= received > limit || hasExcessFraming(received);
      if (!isTooLarge) {
        body.append(bytes);
        return;
      }
      resolve(fail(tooLarge(limit)));
      body.take();
      if (received > limit * (1 + DISCARD_LIMIT_FACTOR)) req.destroy();
    });
    req.once('end', () => {
      void reader.drained().then(() => resolve(ok(body.take())));
    });
    req.once('error', () => resolve(undefined));
    req.once('close', () => {
      void reader.drained().then(() => resolve(undefined));
    });
  });
