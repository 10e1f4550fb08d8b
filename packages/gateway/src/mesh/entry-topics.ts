/** What an entry follows in the platform's log, and what it writes there again after the log was restored. */

import type { Clock, EventLog } from '@plantaindrum/common';
import { createKeyedMirror, createPublisher, decodeNode } from '@plantaindrum/mirror';
import type {
  Follower,
  KeyedChange,
  KeyedTopic,
  NodeRecord,
  PublishNode,
  RestoreSource,
} from '@plantaindrum/mirror';
import type { FollowedTopics } from './followed-topics.js';

/** The platform's log: the operators' intent, the list of upstreams, this system's nodes, requests in quarantine. */
export interface TopicsOfEntry {
  intent: KeyedTopic;
  upstreams: KeyedTopic;
  nodes: KeyedTopic;
  quarantine: KeyedTopic;
}

/** Options of `followEntryTopics`. */
export interface EntryTopicsOptions {
  self: NodeRecord;
  topics: TopicsOfEntry;
  followed: FollowedTopics;
  publish: PublishNode;
  /** Key of the intent in its topic. */
  intentKey: string;
  isNewerIntent: (value: Uint8Array, than: Uint8Array) => boolean;
  onIntent: (value: Uint8Array) => void;
  onUpstream: (change: KeyedChange) => void;
  onNodes: (nodes: readonly NodeRecord[]) => void;
  onQuarantine: (change: KeyedChange) => void;
  /** The log was restored from an older copy, which lacks these requests in quarantine. */
  onQuarantineLost: (keys: readonly string[], source: RestoreSource) => void;
  clock: Clock;
  log: EventLog;
}

/** The topics of an entry. */
export interface EntryTopics {
  intent: Follower;
  /** Whether the list of upstreams has been read. */
  hasUpstreams(): boolean;
  close(): void;
}

/** Waits at the log and pauses between reads, in ms. A change is due within two seconds. */
const INTENT_READ = { waitMs: 600, pauseMs: 50 };
/**
 * The list changes several times a second; reading it seldom saves calls, and two seconds are allowed. Upstreams that
 * live are back in a restored list within two seconds.
 */
const UPSTREAMS_READ = { waitMs: 0, pauseMs: 500, rewrittenWithinMs: 2_000 };
/** Nodes come and go seldom, and a refused call is paid for as well. */
const NODES_READ = { waitMs: 10_000, pauseMs: 1_000, retryMaxMs: 4_000 };
/** Entries tell each other at once; the log is for those that start. */
const QUARANTINE_READ = { waitMs: 25_000, pauseMs: 1_000, retryMaxMs: 4_000 };

/** Starts to follow the topics and to publish this entry. */
export const followEntryTopics = (options: EntryTopicsOptions): EntryTopics => {
  const { self, topics, followed, publish, clock, log } = options;
  const nodes = new Map<string, NodeRecord>();

  const takeNode = ({ key, value }: KeyedChange): void => {
    const record = value && decodeNode(value);
    if (record) nodes.set(key, record);
    else nodes.delete(key);
    options.onNodes([...nodes.values()]);
  };
  const takeIntent = ({ key, value }: KeyedChange): void => {
    if (key === options.intentKey && value) options.onIntent(value);
  };

  const intentMirror = createKeyedMirror(takeIntent, { isNewer: options.isNewerIntent });
  const upstreamMirror = createKeyedMirror(options.onUpstream);
  const nodeMirror = createKeyedMirror(takeNode);
  const quarantineMirror = createKeyedMirror(options.onQuarantine);
  const publisher = createPublisher({ record: self, publish, clock, log });

  const intent = followed.follow(topics.intent, intentMirror, INTENT_READ);
  followed.follow(topics.upstreams, upstreamMirror, UPSTREAMS_READ);
  followed.follow(topics.nodes, nodeMirror, {
    ...NODES_READ,
    onRestored: () => publisher.confirm(nodeMirror),
  });
  followed.follow(topics.quarantine, quarantineMirror, {
    ...QUARANTINE_READ,
    onRestored: (source) => options.onQuarantineLost(quarantineMirror.unconfirmed(), source),
  });

  return { intent, hasUpstreams: () => upstreamMirror.end() >= 0, close: publisher.close };
};
