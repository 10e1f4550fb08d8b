/**
 * Writes checkpoints before retention removes the records that a starting node needs.
 *
 * Every entry runs this; there is no leader. When a checkpoint is due each node waits for a random
 * time and looks again, so one of them writes it and the others find it there. Two at once do no
 * harm, since a reader takes a checkpoint only to move forward.
 */

import { randomUUID } from 'node:crypto';
import type { Clock, Metrics, Random } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';
import { checkpointRecords } from '../core/document/checkpoint.js';
import { INTENT_PARTITION, INTENT_TOPIC } from '../reader/log-follower.js';
import type { IntentNode } from '../reader/reader.js';

/** What a checkpointer works on. */
export interface CheckpointerOptions {
  node: IntentNode;
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  /** How long the log keeps a record, in milliseconds. */
  retentionMs: number;
  /** A checkpoint is also due after this many records, so that a start replays no more. */
  recordsBetween?: number;
}

/** A running checkpointer. */
export interface Checkpointer {
  close(): void;
}

/** `lost`: the log holds no checkpoint that a node could start from. */
type Need = 'none' | 'due' | 'lost';

const RECORDS_BETWEEN = 1_000;
const LONGEST_ROUND_MS = 60_000;
/** Spread of the nodes that find no usable checkpoint after an outage. */
const LOST_SPREAD_MS = 5_000;

/** Starts writing checkpoints when they are due. */
export const startCheckpointer = (options: CheckpointerOptions): Checkpointer => {
  const { node, log, clock, random, metrics, retentionMs } = options;
  const recordsBetween = options.recordsBetween ?? RECORDS_BETWEEN;
  const roundMs = Math.min(LONGEST_ROUND_MS, retentionMs / 16);
  let closed = false;
  let cancel = (): void => {};

  const needNow = (beginning: number): Need => {
    const { offset } = node.current();
    if (offset < 0 || node.freshness().state !== 'fresh') return 'none';
    const met = node.checkpoint();
    const covered = met ? met.asOf : -1;
    if (covered + 1 < beginning) return 'lost';
    if (offset - covered >= recordsBetween) return 'due';
    const since = met?.at ?? node.firstRecordAt();
    return since !== undefined && clock.now() - since >= retentionMs / 4 ? 'due' : 'none';
  };

  const need = async (): Promise<Need> => {
    const range = await log.offsets(INTENT_TOPIC, INTENT_PARTITION);
    return range.ok ? needNow(range.value.beginning) : 'none';
  };

  /** A checkpoint that is not whole is of no use to anybody, so the rest is given up. */
  const write = async (): Promise<void> => {
    const names = { id: randomUUID(), at: clock.now() };
    for (const record of checkpointRecords(node.snapshot(), names)) {
      const appended = await log.append(INTENT_TOPIC, INTENT_PARTITION, [record]);
      if (!appended.ok) {
        metrics.count('intent_checkpoint', { outcome: appended.err.kind });
        return;
      }
    }
    metrics.count('intent_checkpoint', { outcome: 'written' });
  };

  const wait = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      const cancelTimer = clock.after(ms, resolve);
      cancel = () => {
        cancelTimer();
        resolve();
      };
    });

  const run = async (): Promise<void> => {
    while (!closed) {
      await wait(roundMs * (0.5 + random()));
      const first = closed ? 'none' : await need();
      if (first === 'none') continue;
      await wait(random() * (first === 'lost' ? LOST_SPREAD_MS : retentionMs / 8));
      if (closed) return;
      if ((await need()) === 'none') metrics.count('intent_checkpoint', { outcome: 'not-needed' });
      else await write();
    }
  };

  void run();

  return {
    close: () => {
      closed = true;
      cancel();
    },
  };
};
