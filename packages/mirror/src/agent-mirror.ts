/**
 * Mirrors of a topic at agents. The store may be restored from an older copy while all entries are down; what it had
 * acknowledged since that copy is then known to these agents only.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { followTopic } from './follow.js';
import type { Follower } from './follower.js';
import { createKeyedMirror, toItems } from './keyed-mirror.js';
import type { KeyedMirrorOptions } from './keyed-mirror.js';
import type { NodeRecord } from './node-record.js';
import { createRelayedReader, createSharedRead } from './relayed-read.js';
import { TOPIC_START } from './topic.js';
import type { KeyedTopic, PeerRecords } from './topic.js';

/** An agent's mirror of a topic; empty while the agent has to keep none. */
export interface AgentMirror {
  /** Follows the topic from now on, or no longer. */
  setActive(isActive: boolean): void;
  /** Reads the log for another node, and adds what the log has lost; undefined if the log didn't answer. */
  read(): Promise<PeerRecords | undefined>;
  close(): void;
}

/** Options of `createAgentMirror`. */
export interface AgentMirrorOptions extends KeyedMirrorOptions {
  topic: KeyedTopic;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Number of agents that keep a mirror. Each costs a call to the store per change, and one every two seconds. */
const MIRROR_AGENTS = 3;
/**
 * Long-poll wait of a read, the pause after it, and the longest retry delay, in ms. A read that is never answered times
 * out 1.5 s after its wait, so a mirror has each version within four seconds.
 */
const MIRROR_READING = { waitMs: 2_000, pauseMs: 200, retryMaxMs: 1_000 };

const byNameDescending = (a: NodeRecord, b: NodeRecord): number => (a.node < b.node ? 1 : -1);

/** Returns the agents that keep mirrors: the last ones by name, of as many data centres as possible. */
export const selectMirrorAgents = (nodes: Iterable<NodeRecord>): NodeRecord[] => {
  const countByDataCentre = new Map<string, number>();
  const ranked = [...nodes]
    .filter(({ role }) => role === 'agent')
    .sort(byNameDescending)
    .map((agent) => {
      const place = countByDataCentre.get(agent.dataCentre) ?? 0;
      countByDataCentre.set(agent.dataCentre, place + 1);
      return { agent, place };
    });
  return ranked
    .sort((a, b) => a.place - b.place)
    .slice(0, MIRROR_AGENTS)
    .map(({ agent }) => agent);
};

/** Creates a mirror that is not active. */
export const createAgentMirror = (options: AgentMirrorOptions): AgentMirror => {
  const { topic, clock } = options;
  const mirror = createKeyedMirror(() => {}, options);
  const readSnapshotForPeer = createRelayedReader(topic, clock);
  let follower: Follower | undefined;

  /**
   * Reads the records after this mirror's end; false if the log has others there or didn't answer. A snapshot instead
   * would move that end past deletions of keys that the log lost in a restore, which then stay here for good.
   */
  const readNext = async (): Promise<boolean> => {
    if (mirror.end() < 0) return false;
    const generation = mirror.generation();
    const read = await topic.read(mirror.end(), 0);
    const isNext = read.outcome === 'records' && read.generation === generation;
    if (isNext) mirror.apply(read.records, read.end, generation);
    return isNext;
  };

  const readMirror = createSharedRead(async (startedAt) => {
    if (!(await readNext())) {
      const answer = await readSnapshotForPeer();
      if (!answer) return undefined;
      mirror.replace(toItems(answer.records), answer.end, answer.generation);
    }
    const position = { end: mirror.end(), generation: mirror.generation() };
    const ageMs = clock.monotonic() - startedAt;
    return { records: mirror.changesAfter(TOPIC_START), ...position, ageMs, isFull: true };
  }, clock);

  const close = (): void => {
    follower?.close();
    follower = undefined;
  };

  return {
    setActive: (isActive) => {
      if (!isActive) close();
      else {
        follower ??= followTopic({
          ...options,
          ...MIRROR_READING,
          mirror,
          fetchFromPeers: async () => undefined,
        });
      }
    },
    read: () => (follower ? readMirror() : readSnapshotForPeer()),
    close,
  };
};
