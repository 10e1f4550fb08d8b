/** The operators' intent at this entry: followed, served to peers and saved in checkpoints. */

import type { EntrySettings } from '@plantaindrum/common';
import type { IntentLinks, IntentNode } from '@plantaindrum/intent';
import { createIntentReader, createIntentLinks, startCheckpointer } from '@plantaindrum/intent';
import { createLogClient } from '@plantaindrum/service-clients';
import type { EntryDeps } from './deps.js';

/** The intent reader of an entry with its link handlers. */
export interface EntryIntent {
  intent: IntentNode;
  links: IntentLinks;
  close(): Promise<void>;
}

/** Starts following the intent and writing checkpoints. */
export const startEntryIntent = (settings: EntrySettings, deps: EntryDeps): EntryIntent => {
  const { clock, random, metrics } = deps;
  const { node, platform } = settings;
  const log = createLogClient({ url: platform.logUrl, client: node.name });
  const logger = deps.log.child('intent');
  const intent = createIntentReader({ log, clock, random, metrics, logger });
  const retentionMs = platform.logRetentionMs;
  const checkpointer = startCheckpointer({
    node: intent,
    log,
    clock,
    random,
    metrics,
    retentionMs,
  });
  return {
    intent,
    links: createIntentLinks(intent),
    close: async () => {
      checkpointer.close();
      await intent.close();
      await log.close();
    },
  };
};
