/** What the agent beside a rank needs from the platform. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { KeyedTopic, NodeRecord, PublishNode } from '@plantaindrum/mirror';
import type { EngineFinderOptions } from './engine-finder.js';
import type { GroupRecords } from './links/popularity-keeper.js';
import type { GroupShape, RankEngine, Weighs } from './types.js';

/** Options of `createRankAgent`. */
export interface RankAgentOptions {
  self: NodeRecord;
  region: string;
  engineHost: string;
  enginePort: number;
  openEngine: (host: string, port: number) => RankEngine;
  /** Reads the group's shape from the operators' intent; undefined while it is not known. */
  readShape: () => Promise<GroupShape | undefined>;
  /** Lists the engines of the group's service from the platform. */
  listEngines: EngineFinderOptions['list'];
  weighs: Weighs;
  nodes: KeyedTopic;
  /** Topic of the operators' intent, which the agent reads for entries that the store turns away, or mirrors. */
  intent: KeyedTopic;
  /** Whether a value of the intent has a later version than another one. */
  isNewerIntent: (value: Uint8Array, than: Uint8Array, key: string) => boolean;
  publish: PublishNode;
  /** Records that keep what a group knows beyond the life of its agents. */
  groupRecords: GroupRecords;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** A running agent. */
export interface RankAgent {
  stop(): Promise<void>;
}
