/** Callers of all entries: an open load on each entry that is in rotation, on kept connections. */

import { clearInterval, setInterval } from 'node:timers';
import { createCallers } from './callers.mjs';

/** Interval of the readiness probes; an entry is out of rotation after two misses. */
const PROBE_INTERVAL_MS = 1_000;
const MAX_MISSES = 2;

/**
 * Starts the load: `kinds` are lists of `{ route, perSecond, deadlineMs }`, whose rate is that of one entry. All calls are
 * in `calls`, with the entry that they went to.
 */
export const startLoad = (deployment, kinds) => {
  const calls = [];
  const timers = [];
  deployment.entryList.forEach((entry) => {
    const callers = createCallers(entry, () => {});
    let misses = 0;
    const probe = async () => {
      misses = (await deployment.isReady(entry)) ? 0 : misses + 1;
    };
    timers.push(setInterval(probe, PROBE_INTERVAL_MS));
    kinds.forEach(({ route, perSecond, deadlineMs }) => {
      const send = () => {
        if (misses >= MAX_MISSES) return;
        const call = callers.send({ path: `/${route}/2f`, route, deadlineMs });
        calls.push(Object.assign(call, { entry: entry.name }));
      };
      timers.push(setInterval(send, 1_000 / perSecond));
    });
  });
  return { calls, stop: () => timers.forEach(clearInterval) };
};
