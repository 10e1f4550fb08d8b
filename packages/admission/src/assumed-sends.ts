/** Requests that the other entries are assumed to have sent and not yet reported. */

import type { Clock } from '@plantaindrum/common';

/** Assumed requests in flight. */
export interface AssumedSends {
  add(count: number): void;
  count(): number;
}

/** Mean time until a request at another entry is known here, in ms: half of the interval of reports, and the links. */
export const REPORT_AGE_MS = 35;
/**
 * Time for which a request is assumed to be in flight, in ms. With the longest time until it is known, 65 ms, most are
 * counted twice: a full room of 100 held 93 streams.
 */
const ASSUMED_MS = 50;
/** Requests within this time are counted together, in ms. */
const BUCKET_MS = 10;

/** Creates a count of 0. */
export const createAssumedSends = (clock: Clock): AssumedSends => {
  let buckets: { at: number; count: number }[] = [];
  let total = 0;
  const dropReported = (): void => {
    const oldest = clock.monotonic() - ASSUMED_MS;
    while (buckets[0] && buckets[0].at <= oldest) total -= buckets.shift()?.count ?? 0;
    if (buckets.length === 0) total = 0;
  };
  return {
    add: (count) => {
      if (count <= 0) return;
      dropReported();
      const now = clock.monotonic();
      const last = buckets.at(-1);
      if (last && now - last.at < BUCKET_MS) last.count += count;
      else buckets = [...buckets, { at: now, count }];
      total += count;
    },
    count: () => {
      dropReported();
      return total;
    },
  };
};
