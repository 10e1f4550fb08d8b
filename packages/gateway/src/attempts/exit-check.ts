/** Checks whether an upstream's process has exited, after an attempt there failed without a response. */

import { connect } from 'node:net';
import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** Result of connecting to an address. */
export type ConnectOutcome = 'open' | 'refused' | 'silent';

/** Delay before a check and timeout of its connection, in ms. A connection takes about a millisecond. */
export interface ExitCheckTiming {
  delayMs: number;
  timeoutMs: number;
}

/** After a failed attempt: a process may exit a moment after its connections have closed. */
export const FAILURE_CHECK: ExitCheckTiming = { delayMs: 80, timeoutMs: 350 };
/** After an answer that may be complete, which its caller waits for. */
export const ANSWER_CHECK: ExitCheckTiming = { delayMs: 5, timeoutMs: 100 };

/** Connects to an address, and closes the connection at once. */
export const tryConnect = (
  host: string,
  port: number,
  timeoutMs: number,
  clock: Clock,
): Promise<ConnectOutcome> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (outcome: ConnectOutcome): void => {
      resolve(outcome);
      socket.destroy();
    };
    const stopTimer = clock.after(timeoutMs, () => finish('silent'));
    socket.once('connect', () => {
      stopTimer();
      finish('open');
    });
    socket.once('error', (err: NodeJS.ErrnoException) => {
      stopTimer();
      finish(err.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });

/** An upstream that is checked. */
interface UpstreamAddress {
  instance: string;
  host: string;
  port: number;
}

/** Options of `createExitCheck`. */
export interface ExitCheckOptions<Upstream> {
  /** Called if a connection is refused. */
  onExited: (upstream: Upstream) => void;
  /** Called if a connection is accepted. */
  onAlive: (upstream: Upstream) => void;
  connectTo: (host: string, port: number, timeoutMs: number) => Promise<ConnectOutcome>;
  clock: Clock;
}

/** Result of a check, and when its connection attempt began (monotonic, ms). */
export interface ExitCheckResult {
  outcome: ConnectOutcome;
  startedAt: number;
}

/** Checks whether an upstream's process has exited. */
export type ExitCheck<Upstream> = (
  upstream: Upstream,
  timing: ExitCheckTiming,
) => Promise<ExitCheckResult>;

/** Creates the check. It runs once at a time for each upstream and timing. */
export const createExitCheck = <Upstream extends UpstreamAddress>({
  onExited,
  onAlive,
  connectTo,
  clock,
}: ExitCheckOptions<Upstream>): ExitCheck<Upstream> => {
  const pendingChecks = new Map<string, Promise<ExitCheckResult>>();

  const check: ExitCheck<Upstream> = async (upstream, { delayMs, timeoutMs }) => {
    await sleep(clock, delayMs);
    const startedAt = clock.monotonic();
    const outcome = await connectTo(upstream.host, upstream.port, timeoutMs);
    if (outcome === 'refused') onExited(upstream);
    if (outcome === 'open') onAlive(upstream);
    return { outcome, startedAt };
  };

  return (upstream, timing) => {
    const key = `${timing.delayMs} ${upstream.instance}`;
    const running = pendingChecks.get(key);
    if (running) return running;
    const pending = check(upstream, timing).finally(() => pendingChecks.delete(key));
    pendingChecks.set(key, pending);
    return pending;
  };
};
