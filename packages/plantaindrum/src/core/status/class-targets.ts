/** Tracks whether each class has met its target over the last minute. */

import type { Clock } from '@plantaindrum/common';
import type { IntentDocument } from '@plantaindrum/intent';

/** Status of one class. */
export interface ClassStatus {
  name: string;
  latestAnswerMs: number;
  /** Fraction of requests that must be served within the target. */
  share: number;
  /** Requests that ended in the last minute, except those whose caller disconnected. */
  requests: number;
  /** Fraction of requests that were served within the target; undefined without requests. */
  served: number | undefined;
  /** Whether the target is met; undefined without requests. */
  met: boolean | undefined;
}

/** Counts the requests of each class that met the target. */
export interface ClassTargets {
  /** Records the end of a request; `withinTarget` is false for refusals and late responses. */
  record(name: string, withinTarget: boolean): void;
  status(document: IntentDocument): ClassStatus[];
}

const BUCKET_MS = 5_000;
/** Buckets of the sliding window: one minute. */
const BUCKETS = 12;

interface Bucket {
  index: number;
  requests: number;
  withinTarget: number;
}

/** Creates empty counts. */
export const createClassTargets = (clock: Clock): ClassTargets => {
  const bucketsByClass = new Map<string, Bucket[]>();

  const currentIndex = (): number => Math.floor(clock.monotonic() / BUCKET_MS);

  const recentBuckets = (name: string): Bucket[] => {
    const oldest = currentIndex() - BUCKETS + 1;
    const kept = (bucketsByClass.get(name) ?? []).filter(({ index }) => index >= oldest);
    bucketsByClass.set(name, kept);
    return kept;
  };

  const currentBucket = (name: string): Bucket => {
    const kept = recentBuckets(name);
    const index = currentIndex();
    const last = kept.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, withinTarget: 0 };
    kept.push(created);
    return created;
  };

  return {
    record: (name, withinTarget) => {
      const bucket = currentBucket(name);
      bucket.requests += 1;
      if (withinTarget) bucket.withinTarget += 1;
    },
    status: (document) =>
      Object.entries(document.classes).map(([name, { latestAnswerMs, share }]) => {
        const kept = recentBuckets(name);
        const requests = kept.reduce((sum, bucket) => sum + bucket.requests, 0);
        const within = kept.reduce((sum, bucket) => sum + bucket.withinTarget, 0);
        const served = requests > 0 ? within / requests : undefined;
        const met = served === undefined ? undefined : served >= share;
        return { name, latestAnswerMs, share, requests, served, met };
      }),
  };
};
