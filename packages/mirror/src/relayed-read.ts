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

/** Shares a read among the requests that arrive at the same moment. `read` is passed the time of its start. */
export const createSharedRead = (
  read: (startedAt: number) => Promise<PeerRecords | undefined>,
  clock: Clock,
): (() => Promise<PeerRecords | undefined>) => {
  let pending: PendingRead | undefined;

  const start = async (startedAt: number): Promise<PeerRecords | undefined> => {
    const answer = await read(startedAt);
    if (pending?.startedAt === startedAt) pending = undefined;
    return answer;
  };

  return () => {
    const now = clock.monotonic();
    if (!pending || now - pending.startedAt > SHARED_MS) {
      pending = { startedAt: now, answer: start(now) };
    }
    return pending.answer;
  };
};

/** Creates a reader of one topic; requests that arrive at the same moment share one read. */
export const createRelayedReader = (
  topic: KeyedTopic,
  clock: Clock,
): (() => Promise<PeerRecords | undefined>) =>
  createSharedRead(async (startedAt) => {
    const outcome = await readSnapshot(topic);
    if (outcome.outcome !== 'picture') return undefined;
    const { items: records, end, generation } = outcome.snapshot;
    return { records, end, generation, ageMs: clock.monotonic() - startedAt, isFull: true };
  }, clock);
