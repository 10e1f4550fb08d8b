/** The operators' intent at this entry: read, passed on to peers, and kept in checkpoints. */

import type { EntrySettings } from '@plantaindrum/common';
import type { IntentLinks, IntentNode } from '@plantaindrum/intent';
import { createIntentReader, joinIntentToLinks, startCheckpointer } from '@plantaindrum/intent';
import { createLogClient } from '@plantaindrum/service-clients';
import type { EntryDeps } from './deps.js';

/** The intent and what belongs to it. */
export interface EntryIntent {
  intent: IntentNode;
  links: IntentLinks;
  close(): Promise<void>;
}

/** Starts to follow the intent. */
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
    links: joinIntentToLinks(intent),
    close: async () => {
      checkpointer.close();
      await intent.close();
      await log.close();
    },
  };
};
