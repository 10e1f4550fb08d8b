/** An entry and its fake upstreams for the time of one test. */

import { startEntry } from './entry.js';
import type { EntryOptions } from './entry.js';
import { startFakeUpstream } from './fake-upstream.js';
import type { Act, FakeUpstream } from './fake-upstream.js';

/** A running entry. */
export type Entry = Awaited<ReturnType<typeof startEntry>>;

/** Runs a test against an entry before one upstream for each act. */
export const withEntry = async (
  acts: readonly Act[],
  options: Omit<EntryOptions, 'upstreams'>,
  test: (entry: Entry, upstreams: readonly FakeUpstream[]) => Promise<void>,
): Promise<void> => {
  const upstreams = await Promise.all(acts.map((act) => startFakeUpstream(act)));
  const entry = await startEntry({ ...options, upstreams });
  try {
    await test(entry, upstreams);
  } finally {
    await entry.close();
  }
};

/** Requests that the upstreams have read. */
export const runs = (upstreams: readonly FakeUpstream[]): number =>
  upstreams.reduce((sum, { seen }) => sum + seen.length, 0);

/** Waits in real time. */
export const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A route whose requests may run once. */
export const unsafe = { kind: 'unsafe' as const, maxAttempts: 1 };
/** A route of streams that may be resumed. */
export const stream = { kind: 'stream' as const, resumable: true, targetPauseMs: 120 };

/** Ids of the events that a caller got. */
export const eventsOf = (body: string): number[] =>
  [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
