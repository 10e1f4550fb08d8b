/** Publishes this node's record in the platform's log, so that other nodes find it. */

import type { Clock, EventLog } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import { UNCONFIRMED_OFFSET } from './keyed-mirror.js';
import type { KeyedMirror } from './keyed-mirror.js';
import { encodeNodeRecord } from './node-record.js';
import type { NodeRecord } from './node-record.js';

/** Appends a node's record under its name; false unless the log has acknowledged it. */
export type PublishNode = (record: NodeRecord) => Promise<boolean>;

/** Options of `createPublisher`. */
export interface PublisherOptions {
  record: NodeRecord;
  publish: PublishNode;
  clock: Clock;
  log: EventLog;
}

/** Keeps a node's record in the platform's log. */
export interface Publisher {
  /** Publishes again if the mirror lacks the record, as after the log was restored from an older copy. */
  ensurePublished(mirror: KeyedMirror): void;
  close(): void;
}

/** First delay between attempts, in ms, and its limit. It doubles each time, as the store may be down for long. */
const RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 4_000;

/** Starts publishing. Retrying is safe: appending the same record twice has no further effect. */
export const createPublisher = (options: PublisherOptions): Publisher => {
  const { record, publish, clock, log } = options;
  const bytes = encodeNodeRecord(record);
  const pause = createPause(clock);
  let stopped = false;
  let isPublishing = false;

  const publishUntilAcknowledged = async (): Promise<void> => {
    if (isPublishing) return;
    isPublishing = true;
    for (let retryDelayMs = RETRY_DELAY_MS; !stopped && !(await publish(record));) {
      log.event('publish-failed', { node: record.node, nextMs: retryDelayMs });
      await pause.wait(retryDelayMs);
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
    isPublishing = false;
  };
  void publishUntilAcknowledged();

  const isPublished = (mirror: KeyedMirror): boolean =>
    mirror
      .items()
      .filter(({ offset }) => offset !== UNCONFIRMED_OFFSET)
      .some(({ key, value }) => key === record.node && Buffer.compare(value, bytes) === 0);

  return {
    ensurePublished: (mirror) => {
      if (stopped || isPublished(mirror)) return;
      log.event('publish-again', { node: record.node, generation: mirror.generation() });
      void publishUntilAcknowledged();
    },
    close: () => {
      stopped = true;
      pause.end();
    },
  };
};
