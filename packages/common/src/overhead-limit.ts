/** Limits the bytes of an HTTP message that are no content: a peer may send them without end. */

import type { Socket } from 'node:net';

/** Head, interim responses and trailers of a message may have this many bytes together. */
const MAX_OVERHEAD_BYTES = 131_072;
/** Bytes of framing that a byte of the body may have: a chunk of one byte has five, and may have an extension. */
const MAX_OVERHEAD_RATIO = 16;

/** Returns a check whether a connection has delivered more bytes besides the content from now on than a message needs. */
export const createOverheadCheck = (socket: Socket): ((contentBytes: number) => boolean) => {
  const bytesBefore = socket.bytesRead;
  return (contentBytes) => {
    const overhead = socket.bytesRead - bytesBefore - contentBytes;
    return overhead > MAX_OVERHEAD_BYTES + contentBytes * MAX_OVERHEAD_RATIO;
  };
};

/**
 * Calls `onExceeded` once the connection has delivered more bytes besides the content than an answer needs; the returned
 * function ends the check.
 */
export const limitOverhead = (
  socket: Socket,
  contentBytes: () => number,
  onExceeded: () => void,
): (() => void) => {
  const isExceeded = createOverheadCheck(socket);
  const check = (): void => {
    if (isExceeded(contentBytes())) onExceeded();
  };
  socket.on('data', check);
  return () => socket.off('data', check);
};
