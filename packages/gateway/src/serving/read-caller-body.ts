import type { IncomingMessage } from 'node:http';
import { createBodyReader, createByteBuffer, createOverheadCheck } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** Result of reading a caller's request body. */
export type CallerBody =
  | { outcome: 'whole'; body: Uint8Array }
  | { outcome: 'too-large' }
  /** The caller disconnected or stopped sending. */
  | { outcome: 'broken' };

/** Buffers a caller's request body; a body of more than `maxBytes` is not kept. */
export const readCallerBody = (
  req: IncomingMessage,
  maxBytes: number,
  clock: Clock,
): Promise<CallerBody> =>
  new Promise((resolve) => {
    const declaredBytes = Number(req.headers['content-length'] ?? 0);
    if (declaredBytes > maxBytes) {
      resolve({ outcome: 'too-large' });
      return;
    }
    const body = createByteBuffer();
    const hasExcessFraming = createOverheadCheck(req.socket);
    const reader = createBodyReader(req, clock);
    reader.forwardTo((bytes) => {
      const received = reader.receivedBytes();
      if (received <= maxBytes && !hasExcessFraming(received)) body.append(bytes);
      else {
        reader.close();
        resolve({ outcome: 'too-large' });
      }
    });
    req.once('end', () => {
      void reader.drained().then(() => resolve({ outcome: 'whole', body: body.take() }));
    });
    req.once('error', () => resolve({ outcome: 'broken' }));
    req.once('close', () => {
      void reader.drained().then(() => resolve({ outcome: 'broken' }));
    });
  });
