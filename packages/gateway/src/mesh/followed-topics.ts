/** The topics of the platform's log that an entry follows, from the log itself and over its links. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { followTopic, WHOLE } from '@plantaindrum/mirror';
import type {
  Follower,
  KeyedMirror,
  KeyedTopic,
  PeerPush,
  PeerRecords,
  RestoreSource,
  TopicPlace,
} from '@plantaindrum/mirror';
import type { Mesh } from './mesh.js';

/** How a topic is read: how long a read waits at the log, and the pause after it, in ms. */
export interface TopicReading {
  waitMs: number;
  pauseMs: number;
  /** Longest pause after failed reads once the topic has been read, in ms. */
  retryMaxMs?: number;
  /** Time after a restore of the log for writers to write again what it lost, in ms; without it, that is kept. */
  rewrittenWithinMs?: number;
  /** Told when the mirror has moved on to a log that was restored from an older copy. */
  onRestored?: (source: RestoreSource) => void;
}

/** Topics with their mirrors. */
export interface FollowedTopics {
  follow(topic: KeyedTopic, mirror: KeyedMirror, reading: TopicReading): Follower;
  /** The follower of a topic, by the topic's name. */
  follower(name: string): Follower | undefined;
  /** What a topic's mirror holds beyond a place, for a peer; all of it for one of an earlier generation. */
  recordsAfter(name: string, after: TopicPlace): PeerRecords | undefined;
  close(): void;
}

/** Options of `createFollowedTopics`. */
export interface FollowedTopicsOptions {
  /** Undefined until the links are there. */
  mesh: () => Mesh | undefined;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Creates the set; nothing is followed yet. */
export const createFollowedTopics = (options: FollowedTopicsOptions): FollowedTopics => {
  const { mesh, clock, metrics, log } = options;
  const followed = new Map<string, { mirror: KeyedMirror; follower: Follower }>();

  return {
    follow: (topic, mirror, reading) => {
      const onRestored = (source: RestoreSource): void => {
        followed.forEach(({ follower }) => follower.noteGeneration(mirror.generation()));
        reading.onRestored?.(source);
      };
      const follower = followTopic({
        topic,
        mirror,
        askPeers: async (name, after) => mesh()?.askPeers(name, after),
        // One entry reads the log for all: calls to it are paid for, and links are there anyway.
        isReadByPeer: () => mesh()?.hasEarlierPeer() ?? false,
        onAnswer: (push: PeerPush) => mesh()?.passOn(topic.name, push),
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
      const records = mirror.changesAfter(after.generation < generation ? WHOLE : after.offset);
      return { records, end: mirror.end(), generation, ageMs: follower.age() };
    },
    close: () => followed.forEach(({ follower }) => follower.close()),
  };
};
