/** Reads a topic on behalf of a node that the store turns away. */

import type { Clock } from '@plantaindrum/common';
import { readSnapshot } from './topic-snapshot.js';
import type { KeyedTopic, PeerRecords } from './topic.js';

/** Call by which a node asks another one to read a topic of the log for it. */
export const RELAYED_READ_CALL = 'mirror.relay';

/** Creates a reader of one topic; requests that arrive during a read share its result. */
export const createRelayedReader = (
  topic: KeyedTopic,
  clock: Clock,
): (() => Promise<PeerRecords | undefined>) => {
  let pending: Promise<PeerRecords | undefined> | undefined;

  const read = async (): Promise<PeerRecords | undefined> => {
    const startedAt = clock.monotonic();
    const outcome = await readSnapshot(topic);
    if (outcome.outcome !== 'picture') return undefined;
    const { items: records, end, generation } = outcome.snapshot;
    return { records, end, generation, ageMs: clock.monotonic() - startedAt };
  };

  return async () => {
    pending ??= read();
    try {
      return await pending;
    } finally {
      pending = undefined;
    }
  };
};
