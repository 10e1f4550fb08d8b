/** Which start of each upstream is the latest known, and which entries are of an earlier time. */

import type { UpstreamRecord } from '../types.js';

/** How an entry relates to what is known of its instance. */
export type EntryStanding =
  /** Nothing is known of the instance. */
  | 'first'
  /** The instance has started again: nothing that is known of it holds any more. */
  | 'later-start'
  /** The start that is known says something newer, or the same again. */
  | 'current'
  /** A late word: of an earlier start, of an earlier time, or of a start that has left or whose entry was removed. */
  | 'outdated';

/** The latest known start of each instance. */
export interface KnownStarts {
  /** Takes an entry unless it is outdated. */
  take(record: UpstreamRecord): EntryStanding;
  /** The start that is known has left for good: no later word of it counts. */
  noteLeft(instance: string): void;
  /** Its entry was removed without an announcement: only a later heartbeat brings it back. */
  noteRemoved(instance: string): void;
}

/** Instances that are remembered; the oldest are forgotten first. A bound on memory. */
const MOST_INSTANCES = 4_096;

interface KnownStart {
  startedAt: number;
  sequence: number;
  hasLeft: boolean;
  isRemoved: boolean;
}

/** Creates the memory; it outlives entries, as late words of an upstream come after its removal. */
export const createKnownStarts = (): KnownStarts => {
  const known = new Map<string, KnownStart>();

  const standing = ({ instance, startedAt, sequence }: UpstreamRecord): EntryStanding => {
    const last = known.get(instance);
    if (!last) return 'first';
    if (startedAt > last.startedAt) return 'later-start';
    const isEarlier = startedAt < last.startedAt || sequence < last.sequence;
    // A log that was restored from an older copy hands out again what was removed since.
    const isRemoved = last.isRemoved && sequence === last.sequence;
    return isEarlier || last.hasLeft || isRemoved ? 'outdated' : 'current';
  };

  return {
    take: (record) => {
      const found = standing(record);
      if (found === 'outdated') return found;
      const { instance, startedAt, sequence } = record;
      known.delete(instance);
      known.set(instance, { startedAt, sequence, hasLeft: false, isRemoved: false });
      const [oldest] = known.keys();
      if (known.size > MOST_INSTANCES && oldest !== undefined) known.delete(oldest);
      return found;
    },
    noteLeft: (instance) => {
      const last = known.get(instance);
      if (last) last.hasLeft = true;
    },
    noteRemoved: (instance) => {
      const last = known.get(instance);
      if (last) last.isRemoved = true;
    },
  };
};
