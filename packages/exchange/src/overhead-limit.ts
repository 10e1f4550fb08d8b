/** Limits the bytes of an exchange that are no content: a peer may send them without end. */

import type { Socket } from 'node:net';

/** Head, interim responses and trailers of an answer may have this many bytes together. */
const MAX_OVERHEAD_BYTES = 131_072;
/** Bytes of framing that a byte of the body may have: a chunk of one byte has five, and may have an extension. */
const MAX_OVERHEAD_RATIO = 16;

/**
 * Calls `onExceeded` once the connection has delivered more bytes besides the content than an answer needs; the returned
 * function ends the check.
 */
export const limitOverhead = (
  socket: Socket,
  contentBytes: () => number,
  onExceeded: () => void,
): (() => void) => {
  const bytesBefore = socket.bytesRead;
  const check = (): void => {
    const content = contentBytes();
    const overhead = socket.bytesRead - bytesBefore - content;
    if (overhead > MAX_OVERHEAD_BYTES + content * MAX_OVERHEAD_RATIO) onExceeded();
  };
  socket.on('data', check);
  return () => socket.off('data', check);
};
