import { createMetrics, silentEventLog } from '@plantaindrum/common';
import type { ManualClock } from '@plantaindrum/common';
import { createQuarantine } from '../../src/quarantine/index.js';
import type { RequestQuarantine } from '../../src/quarantine/index.js';
import type { QuarantineUpdate } from '../../src/quarantine/quarantine-update.js';

/** The quarantine of one entry, with what it has broadcast and published. */
export interface QuarantineNode {
  quarantine: RequestQuarantine;
  updates: QuarantineUpdate[];
  records: Map<string, Uint8Array | undefined>;
}

/** Creates the quarantine of an entry; its writes to the platform fail while `canPublish` is false. */
export const startQuarantineNode = (
  clock: ManualClock,
  node = 'entry',
  canPublish = () => true,
): QuarantineNode => {
  const updates: QuarantineUpdate[] = [];
  const records = new Map<string, Uint8Array | undefined>();
  const quarantine = createQuarantine({
    node,
    broadcast: (update) => updates.push(update),
    publish: async (key, value) => {
      if (!canPublish()) return false;
      records.set(key, value);
      return true;
    },
    clock,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  return { quarantine, updates, records };
};
