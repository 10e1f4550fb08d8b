/** Status of an agent, for operators. */

import type { AgentSettings } from '@plantaindrum/common';
import type { IntentFreshness, IntentReader, NodeDuty } from '@plantaindrum/intent';
import { nodeDuty } from '@plantaindrum/intent';
import type { Load } from '@plantaindrum/link';
import type { AttemptManager } from './attempts/types.js';

/** The document of `GET /status`, and of the call `node.status`. */
export interface AgentStatus {
  node: AgentSettings['node'] & { role: 'agent'; instance: string };
  ready: boolean;
  /** What the state of its data centre requires of this agent. */
  duty: NodeDuty;
  upstream: AgentSettings['upstream'];
  /** Requests that are queued or running. */
  inFlight: number;
  load: Load;
  attempts: ReturnType<AttemptManager['counts']>;
  /** Number of connected entries. */
  entries: number;
  intent: { offset: number; freshness: IntentFreshness };
  /** Status of its membership in its expert group. */
  group?: unknown;
}

/** Options of `agentStatus`. */
export interface AgentStatusOptions {
  settings: AgentSettings;
  instance: string;
  ready: () => boolean;
  load: () => Load;
  attemptManager: AttemptManager;
  entries: () => number;
  intent: IntentReader;
  group: () => unknown;
}

/** Builds the document of `GET /status`. */
export const agentStatus = (options: AgentStatusOptions): AgentStatus => {
  const { settings, instance, attemptManager, intent } = options;
  const attempts = attemptManager.counts();
  const group = options.group();
  const load = options.load();
  const inFlight = attempts.queued + attempts.running;
  const { document, offset } = intent.current();
  const { dataCentre } = settings.node;
  return {
    node: { ...settings.node, role: 'agent', instance },
    ready: options.ready(),
    duty: nodeDuty({ role: 'agent', dataCentre, document, inFlight }),
    upstream: settings.upstream,
    inFlight,
    load,
    attempts,
    entries: options.entries(),
    intent: { offset, freshness: intent.freshness() },
    ...(group !== undefined && { group }),
  };
};
