/**
 * Idle connections to upstreams, which close when the upstream's process exits. The kernel closes the connections of a
 * process one after the other, the newest first and its listener last. So the end of an answer proves nothing by itself,
 * and a new connection may still be accepted; but one that is newer than the answer's own closes before it.
 */

import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock } from '@plantaindrum/common';
import type { UpstreamAddress } from './connect.js';

/** An idle connection to an upstream's process. */
export interface LivenessConnection {
  isOpen(): boolean;
}

/** Keeps a connection to an upstream open during an attempt. */
export interface LivenessHold {
  /**
   * A connection that is newer than the attempt's; undefined until it is established, and when the upstream has closed it.
   */
  connection(): LivenessConnection | undefined;
  release(): void;
}

/** Idle connections to upstreams, one for each that is held. */
export interface Liveness {
  /** Opens a new connection, which takes the place of earlier ones; called after the attempt has opened its own. */
  hold(upstream: UpstreamAddress): LivenessHold;
  close(): void;
}

/** Options of `createLiveness`. */
export interface LivenessOptions {
  /** Called when an upstream ends a connection that is in use. */
  onClosed: (upstream: UpstreamAddress) => void;
  clock: Clock;
}

/** The newest connection to a process, and what is known of the process by it and by those before it. */
interface CurrentConnection {
  number: number;
  socket: Socket;
  process: { isRunning: boolean };
}

interface HeldUpstream {
  holders: number;
  opened: number;
  current: CurrentConnection | undefined;
}

const CONNECT_TIMEOUT_MS = 350;

/** Creates the connections; none is open at first. */
export const createLiveness = ({ onClosed, clock }: LivenessOptions): Liveness => {
  const heldUpstreams = new Map<string, HeldUpstream>();

  /** Lets a new connection take the place of the current one, which shows that both are to the same process. */
  const replace = (held: HeldUpstream, number: number, socket: Socket): void => {
    const { current } = held;
    if (held.holders === 0 || (current && current.number > number)) {
      socket.destroy();
      return;
    }
    Object.assign(held, {
      current: { number, socket, process: current?.process ?? { isRunning: true } },
    });
    current?.socket.destroy();
  };

  const open = (held: HeldUpstream, upstream: UpstreamAddress): void => {
    const number = held.opened;
    const socket = connect({ host: upstream.host, port: upstream.port });
    const stopTimer = clock.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
    const handleEnd = (): void => {
      stopTimer();
      const { current } = held;
      if (current?.socket !== socket) return;
      current.process.isRunning = false;
      Object.assign(held, { current: undefined });
      onClosed(upstream);
    };
    socket.unref();
    // No bytes are expected: reading shows the end, and a peer that sends some may never stop.
    socket.once('data', () => socket.destroy());
    socket.once('connect', () => {
      stopTimer();
      replace(held, number, socket);
    });
    socket.on('error', handleEnd);
    socket.once('end', handleEnd);
    socket.once('close', handleEnd);
  };

  const drop = (key: string, held: HeldUpstream): void => {
    const { current } = held;
    Object.assign(held, { current: undefined, holders: 0 });
    current?.socket.destroy();
    heldUpstreams.delete(key);
  };

  const hold = (upstream: UpstreamAddress): LivenessHold => {
    const key = `${upstream.instance} ${upstream.host}:${upstream.port}`;
    const held = heldUpstreams.get(key) ?? { holders: 0, opened: 0, current: undefined };
    heldUpstreams.set(key, held);
    held.holders += 1;
    held.opened += 1;
    const first = held.opened;
    open(held, upstream);
    let isReleased = false;
    return {
      connection: () => {
        const { current } = held;
        if (!current || current.number < first) return undefined;
        return { isOpen: () => current.process.isRunning };
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        held.holders -= 1;
        if (held.holders === 0) drop(key, held);
      },
    };
  };

  return {
    hold,
    close: () => heldUpstreams.forEach((held, key) => drop(key, held)),
  };
};
