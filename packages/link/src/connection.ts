/** A link over one TCP connection: hellos in both directions, then frames until either side closes it. */

import type { Socket } from 'node:net';
import { createLinkCalls } from './calls.js';
import { decodeFrame, decodeHello, encodeFrame } from './codec.js';
import { startPayloadReader } from './payload-reader.js';
import type { PayloadReader } from './payload-reader.js';
import type { Frame, Hello } from './messages.js';
import type { FrameHandler, LinkOptions } from './options.js';
import type { Link, LinkCloseReason } from './types.js';

/** Time for sent frames to be flushed when this side closes the link, in milliseconds. */
const FLUSH_TIMEOUT_MS = 1_000;
/** Largest hello, in bytes: nothing is known of a peer before it. */
const MAX_HELLO_BYTES = 16_384;

const frameKind = (frame: Frame): 'control' | 'data' =>
  frame.t === 'chunk' || frame.t === 'dispatch' ? 'data' : 'control';

/** What bytes are counted by: the method of a call or a note, or else the type of the frame. */
const methodOf = (frame: Frame): string =>
  frame.t === 'call' || frame.t === 'note' ? frame.method : frame.t;

/** A connection, whether or not the hellos have been exchanged. */
export interface Connection {
  /** Runs the connection until it is closed; never rejects. */
  run(): Promise<LinkCloseReason>;
  close(): void;
}

/** Creates the connection that runs over an open socket. */
export const createConnection = (socket: Socket, options: LinkOptions): Connection => {
  const { clock, limits, metrics, log } = options;
  let reason: LinkCloseReason | undefined;
  let resolveClosed: (value: LinkCloseReason) => void;
  const closed = new Promise<LinkCloseReason>((resolve) => {
    resolveClosed = resolve;
  });
  let drainWaiters: (() => void)[] = [];
  let heartbeatSeq = 0;
  let missedHeartbeats = 0;
  /** Whether a frame was sent since the peer's last heartbeat, which shows the peer that this side is alive. */
  let hasSent = false;
  let stopTimer = (): void => {};
  let opened: { link: Link; onFrame: FrameHandler } | undefined;
  let reader: PayloadReader | undefined;
  let isClosed = false;

  const releaseDrainWaiters = (): void => {
    const waiters = drainWaiters;
    drainWaiters = [];
    waiters.forEach((resume) => resume());
  };

  const closeWith = (why: LinkCloseReason): void => {
    if (reason) return;
    reason = why;
    stopTimer();
    // Frames that were read but not handled before this side closed are dropped.
    reader?.stop();
    releaseDrainWaiters();
    if (why !== 'closed-here') {
      socket.destroy();
      return;
    }
    // Frames sent before the close are still flushed, unless the peer has stopped reading.
    socket.end();
    const stopFlush = clock.after(FLUSH_TIMEOUT_MS, () => socket.destroy());
    socket.once('close', stopFlush);
  };

  const write = (frame: Frame | Hello, kind: 'control' | 'data', method: string): boolean => {
    if (reason) return false;
    const bytes = encodeFrame(frame);
    const to = opened?.link.peer.dataCentre ?? '';
    metrics.count('link_bytes_sent', { kind, method, to }, bytes.length);
    socket.write(bytes);
    hasSent = true;
    // Closes the link to a peer that has stopped reading, so that unsent frames don't exhaust memory.
    if (socket.writableLength > limits.sendBufferMaxBytes) closeWith('send-buffer-full');
    return true;
  };

  const send = (frame: Frame): boolean => write(frame, frameKind(frame), methodOf(frame));
  const calls = createLinkCalls({
    ...options,
    send,
    sendReply: (reply, method) => write(reply, 'control', `${method} reply`),
  });

  const drained = async (): Promise<void> => {
    if (reason || socket.writableLength <= limits.sendBufferBytes) return;
    await new Promise<void>((resolve) => {
      drainWaiters.push(resolve);
    });
  };

  const sendHello = (): void => {
    const { identity, intentOffset } = options;
    write({ t: 'hello', v: 1, ...identity, intentOffset: intentOffset() }, 'control', 'hello');
  };

  const createLink = (peer: Hello): Link => ({
    peer,
    send,
    drained,
    call: calls.start,
    close: () => closeWith('closed-here'),
    closed,
  });

  const reportOffset = (link: Link, offset: number): void => {
    if (offset > options.intentOffset()) options.onPeerOffset?.(link, offset);
  };

  const heartbeatIntervalMs = (): number =>
    (opened && options.heartbeatMsFor?.(opened.link.peer.node)) ?? limits.heartbeatMs;

  /**
   * Sends a heartbeat, and closes the link after too many without a byte from the peer. Heartbeats are counted instead
   * of time, so that a process that was frozen reads what its peer has sent before it gives the peer up.
   */
  const sendHeartbeat = (): void => {
    if (!reader?.isBusy()) missedHeartbeats += 1;
    if (missedHeartbeats > limits.heartbeatsMissed) {
      closeWith('heartbeat-missed');
      return;
    }
    heartbeatSeq += 1;
    send({ t: 'ping', seq: heartbeatSeq, intentOffset: options.intentOffset() });
    if (!reason) stopTimer = clock.after(heartbeatIntervalMs(), sendHeartbeat);
  };

  /** Answers a heartbeat if there is a load to report, or if no other frame has shown the peer that this side is alive. */
  const sendPong = (seq: number): void => {
    const load = options.load?.();
    if (load || !hasSent) {
      send({ t: 'pong', seq, intentOffset: options.intentOffset(), ...(load && { load }) });
    }
    hasSent = false;
  };

  /** Handles one frame; returns a promise if its handler is asynchronous. */
  const handleFrame = (frame: Frame, link: Link, onFrame: FrameHandler): void | Promise<void> => {
    if (frame.t === 'ping') {
      sendPong(frame.seq);
      reportOffset(link, frame.intentOffset);
      return undefined;
    }
    if (frame.t === 'call') {
      void calls.serve(frame, link);
      return undefined;
    }
    if (frame.t === 'reply') {
      calls.handleReply(frame);
      return undefined;
    }
    if (frame.t === 'pong') reportOffset(link, frame.intentOffset);
    return onFrame(frame);
  };

  const handleHello = (payload: Buffer): void => {
    const hello = decodeHello(payload);
    if (!hello.ok) {
      closeWith(hello.err);
      return;
    }
    stopTimer();
    metrics.count('link_opened', { role: hello.value.role });
    const link = createLink(hello.value);
    const onFrame = options.onLink(link);
    opened = { link, onFrame };
    reportOffset(link, hello.value.intentOffset);
    sendHeartbeat();
  };

  const handlePayload = (payload: Buffer): void | Promise<void> => {
    if (!opened) return handleHello(payload);
    const frame = decodeFrame(payload);
    if (frame.ok) return handleFrame(frame.value, opened.link, opened.onFrame);
    closeWith(frame.err);
    return undefined;
  };

  const handleClosed = (): void => {
    if (isClosed) return;
    isClosed = true;
    const why = reason ?? 'socket-error';
    calls.failPending();
    metrics.count('link_closed', { reason: why });
    resolveClosed(why);
  };

  const run = (): Promise<LinkCloseReason> => {
    socket.setNoDelay(true);
    socket.on('drain', releaseDrainWaiters);
    reader = startPayloadReader({
      socket,
      frameBytes: limits.frameBytes,
      firstFrameBytes: Math.min(limits.frameBytes, MAX_HELLO_BYTES),
      onBytes: (length) => {
        missedHeartbeats = 0;
        metrics.count('link_bytes_received', {}, length);
      },
      handlePayload,
      onFramingFault: closeWith,
      // A handler failed on a frame of this peer: only this peer's link is closed.
      onHandlerFailed: (err) => {
        log.error(`a frame could not be handled: ${String(err)}`);
        closeWith('handler-failed');
      },
      onInputEnd: closeWith,
      onClosed: handleClosed,
    });
    if (reason) reader.stop();
    else {
      sendHello();
      stopTimer = clock.after(limits.helloTimeoutMs, () => closeWith('hello-timeout'));
    }
    // A socket that is already closed emits no further events.
    if (socket.closed) handleClosed();
    return closed;
  };

  return { run, close: () => closeWith('closed-here') };
};
