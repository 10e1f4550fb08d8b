/**
 * Idle connections to upstreams, which close when the upstream's process exits. A connection that was open before an
 * answer ended and is open after it shows that the process lives on; a new one may be accepted by a successor at the
 * same address.
 */

import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock } from '@plantaindrum/common';
import type { ConnectOutcome, UpstreamAddress } from './connect.js';
import { endOfTurn } from './end-of-turn.js';
import type { ExitCheck } from './exit-check.js';

/** An idle connection to an upstream's process. */
export interface LivenessConnection {
  isOpen(): boolean;
}

/** Keeps a connection to an upstream open. */
export interface LivenessHold {
  /** The connection; undefined until it is established, and when the upstream has closed it. */
  connection(): LivenessConnection | undefined;
  /** Lets the connection go; it stays open for a while, for the next holder. */
  release(): void;
}

/** Idle connections to upstreams, one for each that is held. */
export interface Liveness {
  hold(upstream: UpstreamAddress): LivenessHold;
  close(): void;
}

/** Options of `createLiveness`. */
export interface LivenessOptions {
  /** Called when an upstream ends a connection that is in use. */
  onClosed: (upstream: UpstreamAddress) => void;
  clock: Clock;
}

interface HeldUpstream {
  holders: number;
  socket: Socket | undefined;
  connection: LivenessConnection | undefined;
  stopLinger: () => void;
}

/** Time for which a connection without a holder stays open, in ms. */
const LINGER_MS = 5_000;
const CONNECT_TIMEOUT_MS = 350;

/** Creates the connections; none is open at first. */
export const createLiveness = ({ onClosed, clock }: LivenessOptions): Liveness => {
  const heldUpstreams = new Map<string, HeldUpstream>();

  const open = (held: HeldUpstream, upstream: UpstreamAddress): void => {
    const socket = connect({ host: upstream.host, port: upstream.port });
    let isOpen = false;
    const connection: LivenessConnection = { isOpen: () => isOpen };
    const stopTimer = clock.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
    const handleEnd = (): void => {
      stopTimer();
      if (isOpen && held.socket === socket) onClosed(upstream);
      isOpen = false;
      if (held.socket !== socket) return;
      Object.assign(held, { socket: undefined, connection: undefined });
    };
    Object.assign(held, { socket, connection: undefined });
    socket.unref();
    socket.resume();
    socket.once('connect', () => {
      stopTimer();
      isOpen = true;
      Object.assign(held, { connection });
    });
    socket.on('error', handleEnd);
    socket.once('end', handleEnd);
    socket.once('close', handleEnd);
  };

  const drop = (key: string, held: HeldUpstream): void => {
    const { socket } = held;
    Object.assign(held, { socket: undefined, connection: undefined });
    socket?.destroy();
    heldUpstreams.delete(key);
  };

  const hold = (upstream: UpstreamAddress): LivenessHold => {
    const key = `${upstream.instance} ${upstream.host}:${upstream.port}`;
    const held = heldUpstreams.get(key) ?? {
      ...{ holders: 0, socket: undefined, connection: undefined, stopLinger: () => {} },
    };
    heldUpstreams.set(key, held);
    held.stopLinger();
    held.holders += 1;
    if (!held.socket) open(held, upstream);
    let isReleased = false;
    return {
      connection: () => held.connection,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        held.holders -= 1;
        if (held.holders === 0) held.stopLinger = clock.after(LINGER_MS, () => drop(key, held));
      },
    };
  };

  return {
    hold,
    close: () => {
      heldUpstreams.forEach((held, key) => {
        held.stopLinger();
        drop(key, held);
      });
    },
  };
};

/** Result of asking whether a process has lived through the end of an answer. */
export type SurvivalOutcome =
  | 'alive'
  | 'exited'
  /** Nothing proves either. */
  | 'unconfirmed';

/** Whether the process at an upstream's address is the one that is meant. */
export type Identity = 'same' | 'other' | 'unknown';

/** How a process is asked whether it is still the one that answered. */
export interface SurvivalCheck<Upstream> {
  checkExit: ExitCheck<Upstream>;
  /** Asks the process at the upstream's address which instance it is; `unknown` if it doesn't say. */
  identify: (upstream: Upstream) => Promise<Identity>;
}

/**
 * Checks whether the process that sent an answer has lived through its end: `connection` was established before the end.
 * The connections of a process that exits are closed one after the other, so a new connection is made first.
 */
export const confirmSurvival = async <Upstream extends UpstreamAddress>(
  upstream: Upstream,
  connection: LivenessConnection | undefined,
  { checkExit, identify }: SurvivalCheck<Upstream>,
): Promise<SurvivalOutcome> => {
  const outcome: ConnectOutcome = await checkExit(upstream);
  if (outcome === 'refused') return 'exited';
  await endOfTurn();
  if (outcome === 'open' && connection?.isOpen()) return 'alive';
  const identity = await identify(upstream);
  if (identity === 'same') return 'alive';
  return identity === 'other' ? 'exited' : 'unconfirmed';
};
