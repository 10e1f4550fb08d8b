/** Runs a test with an entry and fake upstreams, and closes them afterwards. */

import { startEntry } from './entry.js';
import type { EntryOptions } from './entry.js';
import { startFakeUpstream } from './fake-upstream.js';
import type { Handler, FakeUpstream } from './fake-upstream.js';

/** A running entry. */
export type Entry = Awaited<ReturnType<typeof startEntry>>;

/** Runs a test against an entry with one fake upstream for each handler. */
export const withEntry = async (
  acts: readonly Handler[],
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

/** Number of requests that the upstreams have received. */
export const countRequests = (upstreams: readonly FakeUpstream[]): number =>
  upstreams.reduce((sum, { seen }) => sum + seen.length, 0);

/** Waits in real time. */
export const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Options of a route whose requests must not run more than once. */
export const unsafeRoute = { kind: 'unsafe' as const, maxAttempts: 1 };
/** Options of a route with resumable streams. */
export const streamRoute = { kind: 'stream' as const, resumable: true, targetPauseMs: 120 };

/** Ids of the events in a response body. */
export const eventIdsOf = (body: string): number[] =>
  [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
