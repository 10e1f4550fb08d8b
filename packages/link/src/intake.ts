/** Takes the payloads of a socket in order; while one is at work, the peer is held back by TCP. */

import type { Socket } from 'node:net';
import { createFrameSplitter } from './framing.js';
import type { FramingFault } from './framing.js';

/** How the input of a socket ended. */
export type InputEnd = 'closed-by-peer' | 'socket-error';

/** Options of `startIntake`. */
export interface IntakeOptions {
  socket: Socket;
  /** Largest payload, in bytes. */
  frameBytes: number;
  /** Told of the size of each read, before its payloads are taken. */
  onBytes: (length: number) => void;
  /** Takes one payload; the next one waits for a promise. */
  take: (payload: Buffer) => void | Promise<void>;
  /** The bytes are no frames. */
  onFault: (fault: FramingFault) => void;
  /** `take` threw or its promise was rejected. */
  onTakeFailed: (err: unknown) => void;
  /** All that came in has been taken, and nothing more will. */
  onEnd: (why: InputEnd) => void;
  /** The socket is closed and nothing is being taken any more. */
  onOver: () => void;
}

/** The reading of one socket. */
export interface Intake {
  /** A payload is being taken. */
  isBusy(): boolean;
  /** Drops what has been read and not taken, and all that still comes in. */
  stop(): void;
}

/** Starts to read. */
export const startIntake = (options: IntakeOptions): Intake => {
  const { socket, take, onBytes, onFault, onTakeFailed, onEnd, onOver } = options;
  const splitter = createFrameSplitter(options.frameBytes);
  let unread: Buffer[] = [];
  let isBusy = false;
  let isStopped = false;
  let isClosed = false;
  let inputEnd: InputEnd | undefined;

  const awaitTaken = async (pending: Promise<void>, goOn: () => void): Promise<void> => {
    isBusy = true;
    socket.pause();
    try {
      await pending;
    } catch (err) {
      onTakeFailed(err);
    }
    isBusy = false;
    socket.resume();
    goOn();
  };

  const takeNext = (payload: Buffer, goOn: () => void): void => {
    try {
      const pending = take(payload);
      if (pending) void awaitTaken(pending, goOn);
    } catch (err) {
      onTakeFailed(err);
    }
  };

  const goOn = (): void => {
    while (!isBusy && !isStopped && unread.length > 0) takeNext(unread.shift() as Buffer, goOn);
    if (isBusy) return;
    if (inputEnd) onEnd(inputEnd);
    if (isClosed) onOver();
  };

  const noteEnd = (why: InputEnd): void => {
    inputEnd ??= why;
    goOn();
  };

  socket.on('data', (bytes: Buffer) => {
    onBytes(bytes.length);
    if (isStopped) return;
    const split = splitter.push(bytes);
    if (!split.ok) {
      onFault(split.err);
      return;
    }
    unread.push(...split.value);
    goOn();
  });
  socket.on('end', () => noteEnd('closed-by-peer'));
  socket.on('error', () => noteEnd('socket-error'));
  socket.on('close', () => {
    isClosed = true;
    noteEnd('socket-error');
  });

  return {
    isBusy: () => isBusy,
    stop: () => {
      isStopped = true;
      unread = [];
    },
  };
};
