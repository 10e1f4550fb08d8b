import type { Socket } from 'node:net';

/**
 * Pauses reading from the socket of an HTTP message until the returned function is called. The parser's own requests to
 * resume are overruled meanwhile.
 */
export const pauseReading = (socket: Socket): (() => void) => {
  const pause = (): void => {
    socket.pause();
  };
  socket.on('resume', pause);
  pause();
  return () => {
    socket.off('resume', pause);
    // Another pause overrules this in turn.
    if (!socket.destroyed) socket.resume();
  };
};
