/** Follows the topics of the platform's log that an entry needs, and publishes the entry's own node record. */

import type { Clock, EventLog } from '@plantaindrum/common';
import { createKeyedMirror, createPublisher, decodeNodeRecord } from '@plantaindrum/mirror';
import type {
  Follower,
  KeyedChange,
  KeyedTopic,
  NodeRecord,
  PublishNode,
  RestoreSource,
} from '@plantaindrum/mirror';
import type { FollowedTopics } from './followed-topics.js';

/** Topics of the platform's log: operators' intent, list of upstreams, node registry, quarantined requests. */
export interface EntryLogTopics {
  intent: KeyedTopic;
  upstreams: KeyedTopic;
  nodes: KeyedTopic;
  quarantine: KeyedTopic;
}

/** Options of `followEntryTopics`. */
export interface EntryTopicsOptions {
  self: NodeRecord;
  topics: EntryLogTopics;
  followed: FollowedTopics;
  publish: PublishNode;
  /** Key of the intent in its topic. */
  intentKey: string;
  isNewerIntent: (value: Uint8Array, than: Uint8Array, key: string) => boolean;
  onIntent: (value: Uint8Array) => void;
  /** Called with changes of the other keys in the topic of the intent. */
  onOperatorKey: (change: KeyedChange) => void;
  onUpstream: (change: KeyedChange) => void;
  onNodes: (nodes: readonly NodeRecord[]) => void;
  onQuarantine: (change: KeyedChange) => void;
  /** The log was restored from an older copy, which lacks these quarantined requests. */
  onQuarantineLost: (keys: readonly string[], source: RestoreSource) => void;
  clock: Clock;
  log: EventLog;
}

/** The followed topics of an entry. */
export interface EntryTopicFollowers {
  intent: Follower;
  /** Whether the list of upstreams has been read. */
  hasUpstreams(): boolean;
  close(): void;
}

/** Time that a read waits at the log and pause between reads, in ms. A change is due within two seconds. */
const INTENT_READ = { waitMs: 600, pauseMs: 50, isRelayed: true };
/**
 * The list of upstreams changes several times a second. Two seconds of delay are allowed, so reading it less often
 * saves calls. Live upstreams are back in a restored list within two seconds.
 */
const UPSTREAMS_READ = { waitMs: 0, pauseMs: 500, rewriteTimeoutMs: 2_000, sendsDeltas: true };
/** The node registry changes rarely, so it is read less often. Refused calls are billed, too. */
const NODES_READ = { waitMs: 10_000, pauseMs: 1_000, retryMaxMs: 4_000 };
/** Entries send each other quarantine updates at once; the log only serves entries that start. */
const QUARANTINE_READ = { waitMs: 25_000, pauseMs: 1_000, retryMaxMs: 4_000 };

/** Starts to follow the topics and to publish this entry's node record. */
export const followEntryTopics = (options: EntryTopicsOptions): EntryTopicFollowers => {
  const { self, topics, followed, publish, clock, log } = options;
  const nodes = new Map<string, NodeRecord>();

  const applyNode = ({ key, value }: KeyedChange): void => {
    const record = value && decodeNodeRecord(value);
    if (record) nodes.set(key, record);
    else nodes.delete(key);
    options.onNodes([...nodes.values()]);
  };
  const applyIntent = (change: KeyedChange): void => {
    const { key, value } = change;
    if (key !== options.intentKey) options.onOperatorKey(change);
    else if (value) options.onIntent(value);
  };

  const intentMirror = createKeyedMirror(applyIntent, {
    isNewer: options.isNewerIntent,
    keepsDeletions: true,
  });
  const upstreamMirror = createKeyedMirror(options.onUpstream);
  const nodeMirror = createKeyedMirror(applyNode);
  const quarantineMirror = createKeyedMirror(options.onQuarantine);
  const publisher = createPublisher({ record: self, publish, clock, log });

  const intent = followed.follow(topics.intent, intentMirror, INTENT_READ);
  followed.follow(topics.upstreams, upstreamMirror, UPSTREAMS_READ);
  followed.follow(topics.nodes, nodeMirror, {
    ...NODES_READ,
    onRestored: () => publisher.ensurePublished(nodeMirror),
  });
  followed.follow(topics.quarantine, quarantineMirror, {
    ...QUARANTINE_READ,
    onRestored: (source) => options.onQuarantineLost(quarantineMirror.unconfirmed(), source),
  });

  return { intent, hasUpstreams: () => upstreamMirror.end() >= 0, close: publisher.close };
};
