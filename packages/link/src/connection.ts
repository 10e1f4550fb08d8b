/** One TCP connection as a link: hello both ways, then frames until either side ends it. */

import type { Socket } from 'node:net';
import { createLinkCalls } from './calls.js';
import { decodeFrame, decodeHello, encodeFrame } from './codec.js';
import { startIntake } from './intake.js';
import type { Intake } from './intake.js';
import type { Frame, Hello } from './messages.js';
import type { FrameHandler, LinkOptions } from './options.js';
import type { Link, LinkCloseReason } from './types.js';

const FLUSH_MS = 1_000;

const frameKind = (frame: Frame): 'control' | 'data' =>
  frame.t === 'chunk' || frame.t === 'dispatch' ? 'data' : 'control';

/** A connection before and after its hello. */
export interface Connection {
  /** Runs the connection to its end; never rejects. */
  run(): Promise<LinkCloseReason>;
  close(): void;
}

/** Creates the connection that runs over an open socket. */
export const createConnection = (socket: Socket, options: LinkOptions): Connection => {
  const { clock, limits, metrics, log } = options;
  let reason: LinkCloseReason | undefined;
  let settleClosed: (value: LinkCloseReason) => void;
  const closed = new Promise<LinkCloseReason>((resolve) => {
    settleClosed = resolve;
  });
  let waitingForDrain: (() => void)[] = [];
  let heartbeatSeq = 0;
  let silentHeartbeats = 0;
  /** Something was sent since the peer's last heartbeat, and shows it that this side lives. */
  let hasSent = false;
  let stopTimer = (): void => {};
  let opened: { link: Link; onFrame: FrameHandler } | undefined;
  let intake: Intake | undefined;
  let isOver = false;

  const releaseDrainWaiters = (): void => {
    const waiters = waitingForDrain;
    waitingForDrain = [];
    waiters.forEach((resume) => resume());
  };

  const finish = (why: LinkCloseReason): void => {
    if (reason) return;
    reason = why;
    stopTimer();
    // Frames that were read before this side closed belong to nobody any more.
    intake?.stop();
    releaseDrainWaiters();
    if (why !== 'closed-here') {
      socket.destroy();
      return;
    }
    // What was sent before the close still goes out, unless the peer has stopped reading.
    socket.end();
    const stopFlush = clock.after(FLUSH_MS, () => socket.destroy());
    socket.once('close', stopFlush);
  };

  const write = (frame: Frame | Hello, kind: 'control' | 'data'): boolean => {
    if (reason) return false;
    const bytes = encodeFrame(frame);
    metrics.count('link_bytes_sent', { kind }, bytes.length);
    socket.write(bytes);
    hasSent = true;
    // A peer that stops reading must not fill this process's memory: the link ends instead.
    if (socket.writableLength > limits.sendBufferMaxBytes) finish('send-buffer-full');
    return true;
  };

  const send = (frame: Frame): boolean => write(frame, frameKind(frame));
  const calls = createLinkCalls({ ...options, send });

  const drained = async (): Promise<void> => {
    if (reason || socket.writableLength <= limits.sendBufferBytes) return;
    await new Promise<void>((resolve) => {
      waitingForDrain.push(resolve);
    });
  };

  const sayHello = (): void => {
    const { identity, intentOffset } = options;
    write({ t: 'hello', v: 1, ...identity, intentOffset: intentOffset() }, 'control');
  };

  const makeLink = (peer: Hello): Link => ({
    peer,
    send,
    drained,
    call: calls.start,
    close: () => finish('closed-here'),
    closed,
  });

  const noteOffset = (link: Link, offset: number): void => {
    if (offset > options.intentOffset()) options.onPeerOffset?.(link, offset);
  };

  const heartbeatMs = (): number =>
    (opened && options.heartbeatMsWith?.(opened.link.peer.node)) ?? limits.heartbeatMs;

  /** Counts beats, not time: a process that was frozen gives its peer a beat to be heard first. */
  const beat = (): void => {
    if (!intake?.isBusy()) silentHeartbeats += 1;
    if (silentHeartbeats > limits.heartbeatsMissed) {
      finish('heartbeat-missed');
      return;
    }
    heartbeatSeq += 1;
    send({ t: 'ping', seq: heartbeatSeq, intentOffset: options.intentOffset() });
    if (!reason) stopTimer = clock.after(heartbeatMs(), beat);
  };

  /** Answers a heartbeat where the answer carries a load, or nothing else has told the peer that this side lives. */
  const pong = (seq: number): void => {
    const load = options.load?.();
    if (load || !hasSent) {
      send({ t: 'pong', seq, intentOffset: options.intentOffset(), ...(load && { load }) });
    }
    hasSent = false;
  };

  /** Takes one frame; a promise while its handler is at work. */
  const take = (frame: Frame, link: Link, onFrame: FrameHandler): void | Promise<void> => {
    if (frame.t === 'ping') {
      pong(frame.seq);
      noteOffset(link, frame.intentOffset);
      return undefined;
    }
    if (frame.t === 'call') {
      void calls.serve(frame, link);
      return undefined;
    }
    if (frame.t === 'reply') {
      calls.onReply(frame);
      return undefined;
    }
    if (frame.t === 'pong') noteOffset(link, frame.intentOffset);
    return onFrame(frame);
  };

  const open = (payload: Buffer): void => {
    const hello = decodeHello(payload);
    if (!hello.ok) {
      finish(hello.err);
      return;
    }
    stopTimer();
    metrics.count('link_opened', { role: hello.value.role });
    const link = makeLink(hello.value);
    const onFrame = options.onLink(link);
    opened = { link, onFrame };
    noteOffset(link, hello.value.intentOffset);
    beat();
  };

  const takePayload = (payload: Buffer): void | Promise<void> => {
    if (!opened) return open(payload);
    const frame = decodeFrame(payload);
    if (frame.ok) return take(frame.value, opened.link, opened.onFrame);
    finish(frame.err);
    return undefined;
  };

  const noteOver = (): void => {
    if (isOver) return;
    isOver = true;
    const why = reason ?? 'socket-error';
    calls.end();
    metrics.count('link_closed', { reason: why });
    settleClosed(why);
  };

  const run = (): Promise<LinkCloseReason> => {
    socket.setNoDelay(true);
    socket.on('drain', releaseDrainWaiters);
    intake = startIntake({
      socket,
      frameBytes: limits.frameBytes,
      onBytes: (length) => {
        silentHeartbeats = 0;
        metrics.count('link_bytes_received', {}, length);
      },
      take: takePayload,
      onFault: finish,
      // A fault of this process, brought out by one peer's frame: only that peer's link pays for it.
      onTakeFailed: (err) => {
        log.error(`a frame could not be handled: ${String(err)}`);
        finish('handler-failed');
      },
      onEnd: finish,
      onOver: noteOver,
    });
    if (reason) intake.stop();
    else {
      sayHello();
      stopTimer = clock.after(limits.helloTimeoutMs, () => finish('hello-timeout'));
    }
    // A socket that was destroyed before tells nobody any more.
    if (socket.closed) noteOver();
    return closed;
  };

  return { run, close: () => finish('closed-here') };
};
