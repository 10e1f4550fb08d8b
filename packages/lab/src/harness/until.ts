import { setTimeout as delay } from 'node:timers/promises';

const POLL_MS = 10;

/** Polls `probe` until it returns a value; throws with `condition` after `timeoutMs`. */
export const until = async <T>(
  condition: string,
  probe: () => Promise<T | undefined | false> | T | undefined | false,
  timeoutMs = 10_000,
): Promise<T> => {
  const endAt = performance.now() + timeoutMs;
  for (;;) {
    const found = await probe();
    if (found !== undefined && found !== false) return found;
    if (performance.now() > endAt) throw new Error(`timed out after ${timeoutMs} ms: ${condition}`);
    await delay(POLL_MS);
  }
};
