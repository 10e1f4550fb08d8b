/** Follows the node registry for an agent. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { createKeyedMirror, decodeNodeRecord, followTopic } from '@plantaindrum/mirror';
import type { Follower, KeyedMirror, KeyedTopic, NodeRecord, PeerPush } from '@plantaindrum/mirror';

/** Options of `followNodes`. */
export interface FollowNodesOptions {
  topic: KeyedTopic;
  /** Called for each changed record; undefined when it was deleted or is invalid. */
  onRecord: (node: string, record: NodeRecord | undefined) => void;
  /** Whether this agent coordinates its group. */
  isCoordinating: () => boolean;
  /** Forwards records to the other agents of the group. */
  forward: (push: PeerPush) => void;
  /** Called when the store was restored from an older copy. */
  onRestored: (mirror: KeyedMirror) => void;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Polling of the node registry. Agents change rarely; the registry is read again after each change,
 * but not more often than `pauseMs`. While the store refuses, the known nodes stay in use and
 * retries are delayed, as each refused request of each agent is billed.
 */
const NODE_POLLING = { waitMs: 10_000, pauseMs: 1_000, retryMaxMs: 4_000 };
/**
 * Maximum number of node records that are forwarded at once. When a group starts, the list takes
 * about 100 KB for 228 nodes. Forwarded by one agent it would fill that agent's link for a second
 * while the group forms and the other agents' links are idle.
 */
const MAX_FORWARDED_NODES = 20;

/** Starts to follow the registry; runs until `close`. */
export const followNodes = (options: FollowNodesOptions): Follower => {
  const { topic, onRecord, isCoordinating, forward, clock, metrics, log } = options;
  const mirror = createKeyedMirror(({ key, value }) => {
    onRecord(key, value && decodeNodeRecord(value));
  });
  return followTopic({
    topic,
    mirror,
    fetchFromPeers: async () => undefined,
    // Each call to the log is billed. The coordinator's agent reads the registry for its group. The
    // others read it only while no lower rank is linked, or when no update was received for one
    // polling period.
    isDelegated: () => !isCoordinating(),
    onLogRead: (push) => {
      if (!isCoordinating()) return;
      const isSmall = push.records.length <= MAX_FORWARDED_NODES;
      // Without records it only tells agents that know as much that this one reads for them.
      forward(isSmall ? push : { ...push, after: push.end, records: [] });
    },
    onRestored: () => options.onRestored(mirror),
    ...NODE_POLLING,
    clock,
    metrics,
    log,
  });
};
