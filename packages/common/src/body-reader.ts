/** Reads the body of an HTTP message. */

import type { IncomingMessage } from 'node:http';
import { createByteBuffer } from './byte-buffer.js';
import type { Clock } from './clock.js';
import { createPiecePacer } from './piece-pacer.js';
import { pauseReading } from './pause-reading.js';

/** Handles bytes of a body; reading pauses until a returned promise has resolved. */
export type BytesHandler = (bytes: Buffer) => Promise<void> | void;

/** The reader of one body. */
export interface BodyReader {
  /** Passes the body on, from its first byte; the chunks of one read are joined. */
  forwardTo(handler: BytesHandler): void;
  /** Number of bytes of the body that have been received. */
  receivedBytes(): number;
  /** Resolves when all that has been received was handled, or when the reader was closed. */
  drained(): Promise<void>;
  /** Drops all bytes from now on. */
  close(): void;
}

/** Reading pauses when this many bytes wait for a handler. */
const MAX_WAITING_BYTES = 65_536;

/**
 * Creates the reader, which reads from now on. Chunks are joined in one buffer as they arrive, as each that is kept by
 * itself takes some hundred bytes more than its content.
 */
export const createBodyReader = (message: IncomingMessage, clock: Clock): BodyReader => {
  const { socket } = message;
  const waiting = createByteBuffer();
  const pacer = createPiecePacer(clock);
  let received = 0;
  let pieces = 0;
  let isScheduled = false;
  let handler: BytesHandler | undefined;
  let isHandling = false;
  let resumeReading: (() => void) | undefined;
  let stopTimer: (() => void) | undefined;
  let drainWaiters: (() => void)[] = [];

  const updateReading = (): void => {
    const isFull = isHandling || waiting.length() > MAX_WAITING_BYTES;
    const mayRead = message.closed || (!isFull && !stopTimer);
    if (mayRead) {
      resumeReading?.();
      resumeReading = undefined;
    } else {
      resumeReading ??= pauseReading(socket);
    }
  };

  const deliver = (): void => {
    if (!handler || isHandling) return;
    const pending = waiting.length() > 0 ? handler(waiting.take()) : undefined;
    if (pending) {
      isHandling = true;
      void pending.then(() => {
        isHandling = false;
        deliver();
        updateReading();
      });
      return;
    }
    drainWaiters.forEach((resolve) => resolve());
    drainWaiters = [];
  };

  const pace = (): void => {
    const pauseMs = pacer.record(pieces);
    pieces = 0;
    if (pauseMs === 0) return;
    stopTimer?.();
    stopTimer = clock.after(pauseMs, () => {
      stopTimer = undefined;
      updateReading();
    });
  };

  const handleRead = (): void => {
    isScheduled = false;
    pace();
    deliver();
    updateReading();
  };

  message.on('data', (piece: Buffer) => {
    received += piece.length;
    pieces += 1;
    waiting.append(piece);
    if (isScheduled) return;
    isScheduled = true;
    // After the other chunks of this read.
    process.nextTick(handleRead);
  });
  message.once('close', () => {
    stopTimer?.();
    stopTimer = undefined;
    updateReading();
  });

  const forwardTo = (next: BytesHandler): void => {
    handler = next;
    deliver();
    updateReading();
  };

  return {
    forwardTo,
    receivedBytes: () => received,
    drained: () =>
      new Promise((resolve) => {
        drainWaiters.push(resolve);
        if (!isScheduled) deliver();
      }),
    close: () => {
      isHandling = false;
      forwardTo(() => {});
    },
  };
};
