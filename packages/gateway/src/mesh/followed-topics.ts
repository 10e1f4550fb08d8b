/** Follows topics of the platform's log, reading them from the log itself or from peers over links. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { followTopic, TOPIC_START } from '@plantaindrum/mirror';
import type {
  Follower,
  KeyedMirror,
  KeyedTopic,
  EncodedPush,
  PeerRecords,
  RestoreSource,
  TopicPosition,
} from '@plantaindrum/mirror';
import type { Mesh } from './mesh.js';

/** Timing of the reads of a topic. */
export interface TopicReading {
  /** Time that a read waits at the log, and the pause after it, in ms. */
  waitMs: number;
  pauseMs: number;
  /** Max pause after failed reads once the topic has been read, in ms. */
  retryMaxMs?: number;
  /** Time after a restore of the log until lost keys that weren't written again are dropped, in ms; undefined: never. */
  rewriteTimeoutMs?: number;
  /**
   * Whether agents are asked to read the topic while neither the log nor a peer confirms the mirror, and for what a
   * restored log has lost.
   */
  isRelayed?: boolean;
  /** Whether records are forwarded to peers as deltas; see `FollowOptions`. */
  sendsDeltas?: boolean;
  /** Called when the mirror has switched to a log that was restored from an older copy. */
  onRestored?: (source: RestoreSource) => void;
}

/** The followed topics and their mirrors. */
export interface FollowedTopics {
  follow(topic: KeyedTopic, mirror: KeyedMirror, reading: TopicReading): Follower;
  /** Returns the follower of a topic by the topic's name. */
  follower(name: string): Follower | undefined;
  /** Returns a topic's records after a position, for a peer; all records when the peer's generation is older. */
  recordsAfter(name: string, after: TopicPosition): PeerRecords | undefined;
  close(): void;
}

/** Options of `createFollowedTopics`. */
export interface FollowedTopicsOptions {
  /** Undefined until the mesh has been created. */
  mesh: () => Mesh | undefined;
  /** Has an agent read a topic. */
  fetchRelayed: (topic: string) => Promise<PeerRecords | undefined>;
  /** Fetches a topic from the agents that mirror it; empty if none has answered. */
  fetchAgentMirrors: (topic: string) => Promise<PeerRecords[]>;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Creates an empty set of followed topics. */
export const createFollowedTopics = (options: FollowedTopicsOptions): FollowedTopics => {
  const { mesh, fetchRelayed, fetchAgentMirrors, clock, metrics, log } = options;
  const followed = new Map<string, { mirror: KeyedMirror; follower: Follower }>();

  return {
    follow: (topic, mirror, reading) => {
      const onRestored = (source: RestoreSource): void => {
        followed.forEach(({ follower }) => follower.handleGeneration(mirror.generation()));
        reading.onRestored?.(source);
      };
      const follower = followTopic({
        topic,
        mirror,
        fetchFromPeers: async (name, after, peer) => mesh()?.fetchFromPeer(name, after, peer),
        ...(reading.isRelayed === true && { fetchRelayed, fetchAgentMirrors }),
        // One entry reads the log for all others, since calls to the log are billed and links between entries exist anyway.
        isDelegated: () => mesh()?.hasLowerPeer() ?? false,
        onLogRead: (push: EncodedPush) => mesh()?.broadcastPush(topic.name, push),
        ...reading,
        onRestored,
        clock,
        metrics,
        log,
      });
      followed.set(topic.name, { mirror, follower });
      return follower;
    },
    follower: (name) => followed.get(name)?.follower,
    recordsAfter: (name, after) => {
      const held = followed.get(name);
      if (!held || held.mirror.end() < 0) return undefined;
      const { mirror, follower } = held;
      const generation = mirror.generation();
      if (after.generation > generation) return undefined;
      const isFull = after.generation < generation || after.offset < mirror.historyStart();
      const records = mirror.changesAfter(isFull ? TOPIC_START : after.offset);
      return { records, end: mirror.end(), generation, ageMs: follower.age(), isFull };
    },
    close: () => followed.forEach(({ follower }) => follower.close()),
  };
};
