import type { ServerResponse } from 'node:http';
import type { Clock, Metrics } from '@plantaindrum/common';

/** Longest time that a caller may leave its response unread before it is disconnected. */
const STALLED_CALLER_TIMEOUT_MS = 60_000;

/**
 * Creates a function that waits until the response can take more bytes or its connection closes. A
 * caller that stops reading but stays connected would occupy its slot at the engine forever, so its
 * connection is closed after `STALLED_CALLER_TIMEOUT_MS`.
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

/** Resolves when the response has been sent, or the caller has disconnected or stalled. */
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
