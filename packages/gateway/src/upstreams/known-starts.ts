/** Remembers the latest start of each upstream, and detects outdated entries of the platform's list. */

import type { UpstreamRecord } from '../types.js';

/** How an entry relates to what is known of its instance. */
export type RecordStatus =
  /** Nothing is known of the instance. */
  | 'first'
  /** The instance has started again: what was known of it is no longer valid. */
  | 'later-start'
  /** The known start has written a newer entry, or the same one again. */
  | 'current'
  /** An earlier start, an older heartbeat, or a start that has left or whose entry was removed. */
  | 'outdated';

/** The latest known start of each instance. */
export interface KnownStarts {
  /** Records an entry unless it is outdated; returns its status. */
  accept(record: UpstreamRecord): RecordStatus;
  /** Records that the known start has left: all further entries of it are outdated. */
  recordLeft(instance: string): void;
  /** Records that its entry was removed without an announcement: only a newer heartbeat is accepted. */
  recordRemoved(instance: string): void;
}

/** Maximum number of instances that are remembered, the oldest are forgotten first; bounds the memory. */
const MAX_INSTANCES = 4_096;

interface KnownStart {
  startedAt: number;
  sequence: number;
  hasLeft: boolean;
  isRemoved: boolean;
}

/**
 * Creates an empty `KnownStarts`. It remembers removed entries too, as an upstream's heartbeats may arrive after them.
 */
export const createKnownStarts = (): KnownStarts => {
  const known = new Map<string, KnownStart>();

  const statusOf = ({ instance, startedAt, sequence }: UpstreamRecord): RecordStatus => {
    const last = known.get(instance);
    if (!last) return 'first';
    if (startedAt > last.startedAt) return 'later-start';
    const isEarlier = startedAt < last.startedAt || sequence < last.sequence;
    // A log that was restored from an older copy contains entries that have been removed since.
    const isRemoved = last.isRemoved && sequence === last.sequence;
    return isEarlier || last.hasLeft || isRemoved ? 'outdated' : 'current';
  };

  return {
    accept: (record) => {
      const status = statusOf(record);
      if (status === 'outdated') return status;
      const { instance, startedAt, sequence } = record;
      known.delete(instance);
      known.set(instance, { startedAt, sequence, hasLeft: false, isRemoved: false });
      const [oldest] = known.keys();
      if (known.size > MAX_INSTANCES && oldest !== undefined) known.delete(oldest);
      return status;
    },
    recordLeft: (instance) => {
      const last = known.get(instance);
      if (last) last.hasLeft = true;
    },
    recordRemoved: (instance) => {
      const last = known.get(instance);
      if (last) last.isRemoved = true;
    },
  };
};
