/** Checks whether an upstream's process has exited, after an answer of it has ended or failed. */

import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import type { ConnectOutcome, UpstreamAddress } from './connect.js';

/** Options of `createExitCheck`. */
export interface ExitCheckOptions<Upstream> {
  /** Delay before the check, in ms: a process may exit a moment after its connections have closed. */
  delayMs: number;
  /** Timeout of the check's connection, in ms. A connection takes about a millisecond. */
  timeoutMs: number;
  /** Called if a connection is refused. */
  onExited: (upstream: Upstream) => void;
  /** Called if a connection is accepted. */
  onAlive: (upstream: Upstream) => void;
  connectTo: (host: string, port: number, timeoutMs: number) => Promise<ConnectOutcome>;
  clock: Clock;
}

/** Checks whether an upstream's process has exited; the connection is begun after the call. */
export type ExitCheck<Upstream> = (upstream: Upstream) => Promise<ConnectOutcome>;

/** The check that is running for an upstream, and the one that follows it. */
interface RunningChecks {
  current: Promise<ConnectOutcome>;
  next: Promise<ConnectOutcome> | undefined;
}

/**
 * Creates the check. It runs once at a time for each upstream. Calls meanwhile share the next one, as the
 * connection of a check that is running may be older than what they ask about.
 */
export const createExitCheck = <Upstream extends UpstreamAddress>({
  delayMs,
  timeoutMs,
  onExited,
  onAlive,
  connectTo,
  clock,
}: ExitCheckOptions<Upstream>): ExitCheck<Upstream> => {
  const checks = new Map<string, RunningChecks>();

  const check = async (upstream: Upstream): Promise<ConnectOutcome> => {
    if (delayMs > 0) await sleep(clock, delayMs);
    const outcome = await connectTo(upstream.host, upstream.port, timeoutMs);
    if (outcome === 'refused') onExited(upstream);
    if (outcome === 'open') onAlive(upstream);
    return outcome;
  };

  const start = (upstream: Upstream): Promise<ConnectOutcome> => {
    const current = check(upstream);
    const running: RunningChecks = { current, next: undefined };
    checks.set(upstream.instance, running);
    void current.finally(() => {
      if (!running.next) checks.delete(upstream.instance);
    });
    return current;
  };

  return (upstream) => {
    const running = checks.get(upstream.instance);
    if (!running) return start(upstream);
    running.next ??= running.current.then(() => start(upstream));
    return running.next;
  };
};
