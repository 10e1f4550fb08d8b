import type { ServerResponse } from 'node:http';
import type { Clock, Metrics } from '@plantaindrum/common';

/** Time that a caller may leave an answer unread, in milliseconds. */
const STALLED_CALLER_TIMEOUT_MS = 60_000;

/**
 * Creates the wait until the caller has room for more, or has gone. A caller that stops reading but
 * stays connected would hold its place at the engine for good, so its connection is ended.
 */
export const createDrainWait =
  (res: ServerResponse, clock: Clock, metrics: Metrics): (() => Promise<void>) =>
  () =>
    new Promise((resolve) => {
      if (!res.writableNeedDrain || res.destroyed) {
        resolve();
        return;
      }
      const cancel = clock.after(STALLED_CALLER_TIMEOUT_MS, () => {
        metrics.count('callers_stalled');
        res.destroy();
      });
      const done = (): void => {
        cancel();
        res.off('drain', done);
        res.off('close', done);
        resolve();
      };
      res.on('drain', done);
      res.on('close', done);
    });

/** Resolves when the whole answer has left this process, or its caller has gone or stalled. */
export const waitUntilSent = (res: ServerResponse, clock: Clock, metrics: Metrics): Promise<void> =>
  new Promise((resolve) => {
    if (res.closed) {
      resolve();
      return;
    }
    const cancel = clock.after(STALLED_CALLER_TIMEOUT_MS, () => {
      metrics.count('callers_stalled');
      res.destroy();
    });
    res.once('close', () => {
      cancel();
      resolve();
    });
  });
