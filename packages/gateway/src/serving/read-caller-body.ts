import type { IncomingMessage } from 'node:http';

/** How the reading of a caller's body ended. */
export type CallerBody =
  | { outcome: 'whole'; body: Uint8Array }
  | { outcome: 'too-large' }
  /** The caller went away or stopped sending. */
  | { outcome: 'broken' };

/** Reads a caller's body; a larger one than `most` bytes is not read on. */
export const readCallerBody = (req: IncomingMessage, most: number): Promise<CallerBody> =>
  new Promise((resolve) => {
    const declared = Number(req.headers['content-length'] ?? 0);
    if (declared > most) {
      resolve({ outcome: 'too-large' });
      return;
    }
    const chunks: Uint8Array[] = [];
    let size = 0;
    req.on('data', (chunk: Uint8Array) => {
      size += chunk.length;
      if (size > most) resolve({ outcome: 'too-large' });
      else chunks.push(chunk);
    });
    req.once('end', () => resolve({ outcome: 'whole', body: Buffer.concat(chunks) }));
    req.once('error', () => resolve({ outcome: 'broken' }));
    req.once('close', () => resolve({ outcome: 'broken' }));
  });
