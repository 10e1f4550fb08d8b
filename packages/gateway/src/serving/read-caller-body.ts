import type { IncomingMessage } from 'node:http';

/** Result of reading a caller's request body. */
export type CallerBody =
  | { outcome: 'whole'; body: Uint8Array }
  | { outcome: 'too-large' }
  /** The caller disconnected or stopped sending. */
  | { outcome: 'broken' };

/** Buffers a caller's request body; a body of more than `maxBytes` is not kept. */
export const readCallerBody = (req: IncomingMessage, maxBytes: number): Promise<CallerBody> =>
  new Promise((resolve) => {
    const declaredBytes = Number(req.headers['content-length'] ?? 0);
    if (declaredBytes > maxBytes) {
      resolve({ outcome: 'too-large' });
      return;
    }
    const chunks: Uint8Array[] = [];
    let size = 0;
    req.on('data', (chunk: Uint8Array) => {
      size += chunk.length;
      if (size > maxBytes) resolve({ outcome: 'too-large' });
      else chunks.push(chunk);
    });
    req.once('end', () => resolve({ outcome: 'whole', body: Buffer.concat(chunks) }));
    req.once('error', () => resolve({ outcome: 'broken' }));
    req.once('close', () => resolve({ outcome: 'broken' }));
  });
