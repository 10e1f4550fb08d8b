/** Reads a topic on behalf of a node that the store turns away. */

import type { Clock } from '@plantaindrum/common';
import { readSnapshot } from './topic-snapshot.js';
import type { KeyedTopic, PeerRecords } from './topic.js';

/** Call by which a node asks another one to read a topic of the log for it. */
export const RELAYED_READ_CALL = 'mirror.relay';

/**
 * Time after its start for which a read is shared by further requests, in ms. An answer takes some 4 ms; a read without
 * one may wait at a store that was down when it began.
 */
const SHARED_MS = 100;

interface PendingRead {
  startedAt: number;
  answer: Promise<PeerRecords | undefined>;
}

/** Creates a reader of one topic; requests that arrive at the same moment share one read. */
export const createRelayedReader = (
  topic: KeyedTopic,
  clock: Clock,
): (() => Promise<PeerRecords | undefined>) => {
  let pending: PendingRead | undefined;

  const read = async (startedAt: number): Promise<PeerRecords | undefined> => {
    const outcome = await readSnapshot(topic);
    if (pending?.startedAt === startedAt) pending = undefined;
    if (outcome.outcome !== 'picture') return undefined;
    const { items: records, end, generation } = outcome.snapshot;
    return { records, end, generation, ageMs: clock.monotonic() - startedAt };
  };

  return () => {
    const now = clock.monotonic();
    if (!pending || now - pending.startedAt > SHARED_MS) {
      pending = { startedAt: now, answer: read(now) };
    }
    return pending.answer;
  };
};
