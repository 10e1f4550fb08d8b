/** Handles the payloads of a socket in order; reading is paused while one is being handled (TCP backpressure). */

import type { Socket } from 'node:net';
import { createFrameSplitter } from './framing.js';
import type { FramingFault } from './framing.js';

/** How the input of a socket ended. */
export type InputEnd = 'closed-by-peer' | 'socket-error';

/** Options of `startPayloadReader`. */
export interface PayloadReaderOptions {
  socket: Socket;
  /** Largest payload, in bytes, and the same for the first one. */
  frameBytes: number;
  firstFrameBytes: number;
  /** Called with the size of each read, before its payloads are handled. */
  onBytes: (length: number) => void;
  /** Handles one payload; if it returns a promise, the next payload waits until that has settled. */
  handlePayload: (payload: Buffer) => void | Promise<void>;
  /** Called when the bytes can't be split into frames. */
  onFramingFault: (fault: FramingFault) => void;
  /** Called when `handlePayload` has thrown or its promise was rejected. */
  onHandlerFailed: (err: unknown) => void;
  /** Called when the input has ended and all payloads have been handled. */
  onInputEnd: (why: InputEnd) => void;
  /** Called when the socket is closed and no payload is being handled any more. */
  onClosed: () => void;
}

/** Reads one socket. */
export interface PayloadReader {
  /** Whether an asynchronous handler is running. */
  isBusy(): boolean;
  /** Drops payloads that haven't been handled, and all further input. */
  stop(): void;
}

/** Starts reading. */
export const startPayloadReader = (options: PayloadReaderOptions): PayloadReader => {
  const { socket, handlePayload, onBytes, onFramingFault, onHandlerFailed, onInputEnd, onClosed } =
    options;
  const splitter = createFrameSplitter(options.frameBytes, options.firstFrameBytes);
  let queue: Buffer[] = [];
  let isBusy = false;
  let isStopped = false;
  let isClosed = false;
  let inputEnd: InputEnd | undefined;

  const awaitHandler = async (pending: Promise<void>, drain: () => void): Promise<void> => {
    isBusy = true;
    socket.pause();
    try {
      await pending;
    } catch (err) {
      onHandlerFailed(err);
    }
    isBusy = false;
    socket.resume();
    drain();
  };

  const handleNext = (payload: Buffer, drain: () => void): void => {
    try {
      const pending = handlePayload(payload);
      if (pending) void awaitHandler(pending, drain);
    } catch (err) {
      onHandlerFailed(err);
    }
  };

  const drain = (): void => {
    while (!isBusy && !isStopped && queue.length > 0) handleNext(queue.shift() as Buffer, drain);
    if (isBusy) return;
    if (inputEnd) onInputEnd(inputEnd);
    if (isClosed) onClosed();
  };

  const handleInputEnd = (why: InputEnd): void => {
    inputEnd ??= why;
    drain();
  };

  socket.on('data', (bytes: Buffer) => {
    onBytes(bytes.length);
    if (isStopped) return;
    const split = splitter.push(bytes);
    if (!split.ok) {
      onFramingFault(split.err);
      return;
    }
    queue.push(...split.value);
    drain();
  });
  socket.on('end', () => handleInputEnd('closed-by-peer'));
  socket.on('error', () => handleInputEnd('socket-error'));
  socket.on('close', () => {
    isClosed = true;
    handleInputEnd('socket-error');
  });

  return {
    isBusy: () => isBusy,
    stop: () => {
      isStopped = true;
      queue = [];
    },
  };
};
