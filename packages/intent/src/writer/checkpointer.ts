/**
 * Writes checkpoints before retention deletes the records that a starting node needs.
 *
 * Every entry runs this; there is no leader. When a checkpoint is due each node waits for a random
 * time and checks again, so usually one of them writes it and the others find it in the log. Two
 * at once do no harm, since a reader uses a checkpoint only to move forward.
 */

import { randomUUID } from 'node:crypto';
import type { Clock, Metrics, Random } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';
import { checkpointRecords } from '../core/document/checkpoint.js';
import { INTENT_PARTITION, INTENT_TOPIC } from '../reader/log-follower.js';
import type { IntentNode } from '../reader/reader.js';

/** Options of `startCheckpointer`. */
export interface CheckpointerOptions {
  node: IntentNode;
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  /** How long the log keeps a record, in milliseconds. */
  retentionMs: number;
  /** A checkpoint is also due after this many records, which bounds what a starting node replays. */
  recordsBetween?: number;
}

/** A running checkpointer. */
export interface Checkpointer {
  close(): void;
}

/** Whether a checkpoint is needed. `lost`: the log no longer holds what a node needs to start. */
type Need = 'none' | 'due' | 'lost';

const RECORDS_BETWEEN = 1_000;
const MAX_CHECK_INTERVAL_MS = 60_000;
/** Spread of the nodes' writes when the log holds no usable checkpoint, as after an outage, in milliseconds. */
const LOST_SPREAD_MS = 5_000;

/** Starts writing checkpoints when they are due. */
export const startCheckpointer = (options: CheckpointerOptions): Checkpointer => {
  const { node, log, clock, random, metrics, retentionMs } = options;
  const recordsBetween = options.recordsBetween ?? RECORDS_BETWEEN;
  const checkIntervalMs = Math.min(MAX_CHECK_INTERVAL_MS, retentionMs / 16);
  let closed = false;
  let cancel = (): void => {};

  const needNow = (beginning: number): Need => {
    const { offset } = node.current();
    if (offset < 0 || node.freshness().state !== 'fresh') return 'none';
    const latest = node.checkpoint();
    const covered = latest ? latest.asOf : -1;
    if (covered + 1 < beginning) return 'lost';
    if (offset - covered >= recordsBetween) return 'due';
    const since = latest?.at ?? node.firstRecordAt();
    return since !== undefined && clock.now() - since >= retentionMs / 4 ? 'due' : 'none';
  };

  const need = async (): Promise<Need> => {
    const range = await log.offsets(INTENT_TOPIC, INTENT_PARTITION);
    return range.ok ? needNow(range.value.beginning) : 'none';
  };

  /** Stops at the first failed append, as an incomplete checkpoint can't be used. */
  const write = async (): Promise<void> => {
    const identity = { id: randomUUID(), at: clock.now() };
    for (const record of checkpointRecords(node.snapshot(), identity)) {
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
      await wait(checkIntervalMs * (0.5 + random()));
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
