/** Publishes this node in the platform's log, so that the others find it. */

import type { Clock, EventLog } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import { UNCONFIRMED_OFFSET } from './keyed-mirror.js';
import type { KeyedMirror } from './keyed-mirror.js';
import { encodeNode } from './roster.js';
import type { NodeRecord } from './roster.js';

/** Appends a node's record under its name; false when that is not known to have worked. */
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
  /** Publishes again unless the mirror shows the record: a log that was restored from an older copy may lack it. */
  confirm(mirror: KeyedMirror): void;
  close(): void;
}

/** Waits between tries, in ms, doubled each time: the store may be down for long. */
const FIRST_MS = 500;
const MAX_MS = 4_000;

/** Starts to publish; a record that lands twice is the same record. */
export const createPublisher = (options: PublisherOptions): Publisher => {
  const { record, publish, clock, log } = options;
  const bytes = encodeNode(record);
  const pause = createPause(clock);
  let stopped = false;
  let isPublishing = false;

  const run = async (): Promise<void> => {
    if (isPublishing) return;
    isPublishing = true;
    for (let waitMs = FIRST_MS; !stopped && !(await publish(record));) {
      log.event('publish-failed', { node: record.node, nextMs: waitMs });
      await pause.wait(waitMs);
      waitMs = Math.min(MAX_MS, waitMs * 2);
    }
    isPublishing = false;
  };
  void run();

  const isShown = (mirror: KeyedMirror): boolean =>
    mirror
      .items()
      .filter(({ offset }) => offset !== UNCONFIRMED_OFFSET)
      .some(({ key, value }) => key === record.node && Buffer.compare(value, bytes) === 0);

  return {
    confirm: (mirror) => {
      if (stopped || isShown(mirror)) return;
      log.event('publish-again', { node: record.node, generation: mirror.generation() });
      void run();
    },
    close: () => {
      stopped = true;
      pause.end();
    },
  };
};
