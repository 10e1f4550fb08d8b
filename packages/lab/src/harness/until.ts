import { setTimeout as delay } from 'node:timers/promises';

const POLL_MS = 10;

/** Waits until `probe` gives a value; fails with `what` after `withinMs` milliseconds. */
export const until = async <T>(
  what: string,
  probe: () => Promise<T | undefined | false> | T | undefined | false,
  withinMs = 10_000,
): Promise<T> => {
  const limit = performance.now() + withinMs;
  for (;;) {
    const found = await probe();
    if (found !== undefined && found !== false) return found;
    if (performance.now() > limit) throw new Error(`not within ${withinMs} ms: ${what}`);
    await delay(POLL_MS);
  }
};
