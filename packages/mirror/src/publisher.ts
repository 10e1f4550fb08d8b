/** Publishes this node in the platform's log, so that the others find it. */

import type { Clock, EventLog } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
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

/** Waits between tries, in ms, doubled each time: the store may be down for long. */
const FIRST_MS = 500;
const MAX_MS = 4_000;

/** Starts to publish; a record that lands twice is the same record. */
export const createPublisher = (options: PublisherOptions): { close(): void } => {
  const { record, publish, clock, log } = options;
  const pause = createPause(clock);
  let stopped = false;

  const run = async (): Promise<void> => {
    let waitMs = FIRST_MS;
    while (!stopped) {
      if (await publish(record)) return;
      log.event('publish-failed', { node: record.node, nextMs: waitMs });
      await pause.wait(waitMs);
      waitMs = Math.min(MAX_MS, waitMs * 2);
    }
  };
  void run();

  return {
    close: () => {
      stopped = true;
      pause.end();
    },
  };
};
