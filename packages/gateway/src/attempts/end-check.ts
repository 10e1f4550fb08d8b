/** Finds out whether an upstream's process has ended, after an attempt there was lost. */

import { connect } from 'node:net';
import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** What a connection to an address met. */
export type ConnectOutcome = 'open' | 'refused' | 'silent';

/** Time for a connection, in ms; links take about a millisecond. */
const CONNECT_MS = 350;
/** Pause before an upstream is looked at, in ms: its process may end a moment after its connections. */
const LOOK_MS = 80;

/** Connects and closes again. */
export const tryConnect = (host: string, port: number, clock: Clock): Promise<ConnectOutcome> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (outcome: ConnectOutcome): void => {
      resolve(outcome);
      socket.destroy();
    };
    const stopTimer = clock.after(CONNECT_MS, () => settle('silent'));
    socket.once('connect', () => {
      stopTimer();
      settle('open');
    });
    socket.once('error', (err: NodeJS.ErrnoException) => {
      stopTimer();
      settle(err.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });

/** An upstream that is looked at. */
interface Address {
  instance: string;
  host: string;
  port: number;
}

/** Creates the check: one at a time for each upstream; `onEnded` is told where connections are refused. */
export const createEndCheck = <Upstream extends Address>(
  onEnded: (upstream: Upstream) => void,
  connectTo: (host: string, port: number) => Promise<ConnectOutcome>,
  clock: Clock,
): ((upstream: Upstream) => Promise<void>) => {
  const looking = new Map<string, Promise<void>>();

  const look = async (upstream: Upstream): Promise<void> => {
    await sleep(clock, LOOK_MS);
    if ((await connectTo(upstream.host, upstream.port)) === 'refused') onEnded(upstream);
  };

  return (upstream) => {
    const { instance } = upstream;
    const running = looking.get(instance);
    if (running) return running;
    const looked = look(upstream).finally(() => looking.delete(instance));
    looking.set(instance, looked);
    return looked;
  };
};
