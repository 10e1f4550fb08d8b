/** Checks whether an upstream's process has exited, after an answer of it has ended or failed. */

import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import { tryConnect } from './connect.js';
import type { ConnectOutcome, UpstreamAddress } from './connect.js';
import { endOfTurn } from './end-of-turn.js';

/** Options of `createExitCheck`. */
export interface ExitCheckOptions<Upstream> {
  /** Delay before the check, in ms: a process may exit a moment after its connections have closed. */
  delayMs: number;
  /** Timeout of the check's connection, in ms. A connection takes about a millisecond. */
  timeoutMs: number;
  /** Called if a connection is refused. */
  onExited?: (upstream: Upstream) => void;
  /** Called if a connection is accepted. */
  onAlive?: (upstream: Upstream) => void;
  connectTo?: typeof tryConnect;
  clock: Clock;
}

/** Checks whether an upstream's process has exited; the connection is begun after the call. */
export type ExitCheck<Upstream> = (upstream: Upstream) => Promise<ConnectOutcome>;

/**
 * Creates the check. Calls in one turn of the event loop share a connection, which is begun at the end of the turn: what
 * they ask about has happened before. A check that is running is not joined, as its connection may be older.
 */
export const createExitCheck = <Upstream extends UpstreamAddress>({
  delayMs,
  timeoutMs,
  onExited,
  onAlive,
  connectTo = tryConnect,
  clock,
}: ExitCheckOptions<Upstream>): ExitCheck<Upstream> => {
  const startingChecks = new Map<string, Promise<ConnectOutcome>>();

  const check = async (upstream: Upstream): Promise<ConnectOutcome> => {
    await endOfTurn();
    startingChecks.delete(upstream.instance);
    if (delayMs > 0) await sleep(clock, delayMs);
    const outcome = await connectTo(upstream.host, upstream.port, timeoutMs, clock);
    if (outcome === 'refused') onExited?.(upstream);
    if (outcome === 'open') onAlive?.(upstream);
    return outcome;
  };

  return (upstream) => {
    const starting = startingChecks.get(upstream.instance);
    if (starting) return starting;
    const started = check(upstream);
    startingChecks.set(upstream.instance, started);
    return started;
  };
};
