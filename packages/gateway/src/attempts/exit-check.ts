/** Checks whether an upstream's process has exited, after an attempt there failed without a response. */

import { connect } from 'node:net';
import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** Result of connecting to an address. */
export type ConnectOutcome = 'open' | 'refused' | 'silent';

/** Timeout of a connection, in ms; a connection takes about a millisecond. */
const CONNECT_TIMEOUT_MS = 350;
/** Delay before the check, in ms: a process may exit a moment after its connections have closed. */
const CHECK_DELAY_MS = 80;

/** Connects to an address, and closes the connection at once. */
export const tryConnect = (host: string, port: number, clock: Clock): Promise<ConnectOutcome> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (outcome: ConnectOutcome): void => {
      resolve(outcome);
      socket.destroy();
    };
    const stopTimer = clock.after(CONNECT_TIMEOUT_MS, () => finish('silent'));
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
  connectTo: (host: string, port: number) => Promise<ConnectOutcome>;
  clock: Clock;
}

/** Creates the check. It runs once at a time for each upstream. */
export const createExitCheck = <Upstream extends UpstreamAddress>({
  onExited,
  onAlive,
  connectTo,
  clock,
}: ExitCheckOptions<Upstream>): ((upstream: Upstream) => Promise<ConnectOutcome>) => {
  const pendingChecks = new Map<string, Promise<ConnectOutcome>>();

  const check = async (upstream: Upstream): Promise<ConnectOutcome> => {
    await sleep(clock, CHECK_DELAY_MS);
    const outcome = await connectTo(upstream.host, upstream.port);
    if (outcome === 'refused') onExited(upstream);
    if (outcome === 'open') onAlive(upstream);
    return outcome;
  };

  return (upstream) => {
    const { instance } = upstream;
    const running = pendingChecks.get(instance);
    if (running) return running;
    const pending = check(upstream).finally(() => pendingChecks.delete(instance));
    pendingChecks.set(instance, pending);
    return pending;
  };
};
