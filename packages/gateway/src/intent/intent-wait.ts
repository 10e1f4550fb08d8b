/** Holds requests back that arrive before the first intent has been read. */

import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** How often a waiting request checks for the intent, in ms. */
const INTENT_POLL_MS = 10;

/** Creates a function that resolves when there is an intent, or after a time, in ms. */
export const createIntentWait =
  (hasIntent: () => boolean, clock: Clock): ((timeoutMs: number) => Promise<void>) =>
  async (timeoutMs) => {
    const deadline = clock.monotonic() + timeoutMs;
    while (!hasIntent() && clock.monotonic() < deadline) await sleep(clock, INTENT_POLL_MS);
  };
