/** What a coordinator needs, and what it offers to the agent beside its rank. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { SwitchOptions as MapSwitchOptions } from './change/switch-map.js';
import type { KeptPopularity } from './plan/known-popularity.js';
import type { CoordinatorPort } from './tree/rank-port.js';
import type { GroupShape, Placement, RankReport, Weighs } from './types.js';

/** What a coordinator receives from a rank. */
export interface RankUpdate {
  report: RankReport;
  /** Selection counts of each expert since the last update. */
  counts: number[];
}

/** Directs a group's map changes while this agent's rank is the lowest linked one. */
export interface Coordinator {
  /** Handles the report and selection counts of a rank. */
  onUpdate(update: RankUpdate): void;
  /** Handles selection counts that relays have summed over several ranks. */
  onSelectionCounts(selectionCounts: readonly number[]): void;
  close(): void;
}

/** Options of `createCoordinator`. */
export interface CoordinatorOptions {
  port: Omit<CoordinatorPort, 'telemetry' | 'forwardNodes'>;
  ownRank: number;
  shape: GroupShape;
  weighs: Weighs;
  /** Whether this agent coordinates. */
  isLowest: () => boolean;
  /** Resolves once this agent coordinates; immediately if it already does. */
  whenLowest: () => Promise<void>;
  /**
   * Returns a map that this agent has received or planned, which need not be read from the ranks.
   */
  cachedPlacement: (epoch: number, version: number) => Placement | undefined;
  /** Time between two telemetry polls of the ranks, in ms. */
  telemetryIntervalMs: () => number;
  /**
   * Sends an order to the local rank through an agent on another VM; undefined when no other agent
   * is linked.
   */
  orderOwnRankViaPeer: MapSwitchOptions['orderOwnRankViaPeer'];
  /** Popularity that survives the coordinator's loss; without, none is kept. */
  keptPopularity?: KeptPopularity;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}
