/**
 * Plans the first map of a group that opens.
 *
 * An opened group uses map 0, which assigns experts to ranks without regard to popularity, so each
 * pass is late until the map is changed. Selection counts arrive some tenths of a second after the
 * opening. With the popularity from before, the map is planned while the group is closed and
 * prepared with the first report that shows it open.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { EarlierPopularity } from '../plan/known-popularity.js';
import type { MapPlan } from '../plan/plan.js';
import type { GroupShape, Placement, RankReport } from '../types.js';

/** A planned first map. */
export interface PlannedFirstMap {
  source: EarlierPopularity['source'];
  current: Placement;
  plan: MapPlan;
}

/** Plans the first maps of a group. */
export interface FirstMap {
  /** Records the state of the local rank; true when it shows that the group has opened. */
  record(report: RankReport): boolean;
  /** Plans the first map of a closed group, once for each closure and source. */
  planAhead(report: RankReport): void;
  /** Returns the change to make now in an open group; undefined when there is none. */
  next(report: RankReport): PlannedFirstMap | undefined;
  /** Records that a change by this coordinator has succeeded or failed. */
  recordChange(epoch: number, version: number, isSwitched: boolean): void;
  /**
   * Whether this coordinator found map 0 in use in this epoch, and the group has opened a short
   * time ago, so that popularity from before applies and further changes are due.
   */
  isOpening(epoch: number): boolean;
  /** The map in use when it is known to be map 0; undefined when it has to be read. */
  initialMap(report: RankReport): Placement | undefined;
}

/** Options of `createFirstMap`. */
export interface FirstMapOptions {
  shape: GroupShape;
  popularity: () => EarlierPopularity | undefined;
  plan: (current: Placement, shares: EarlierPopularity['shares']) => MapPlan | undefined;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** What this coordinator has done in the latest epoch in which it found map 0 or changed the map. */
interface Opening {
  epoch: number;
  failures: number;
  isChanged: boolean;
  /** Source of the last planned first map; undefined when a regular check plans the change. */
  source: EarlierPopularity['source'] | undefined;
}

/**
 * Time after the opening in which changes follow each other without waiting for counts, in ms: each
 * one may add a few experts to a rank, and an even map takes three or four.
 */
const OPENING_MS = 2_000;
/** Version of the map that a group has when it forms. */
const INITIAL_MAP = 0;
/**
 * Attempts at the first change in one epoch. Ranks that read the opening later refuse the first
 * one; further ones are left to the regular checks, which read the map in use from the ranks.
 */
const MAX_ATTEMPTS = 3;

/** Map 0 of a group: expert n is at rank n modulo the number of ranks, in each set. */
export const initialPlacement = ({ sets, experts }: GroupShape, ranks: number): Placement => {
  const byRank = Array.from({ length: ranks }, (_, rank) =>
    Array.from({ length: experts }, (__, expert) => expert).filter((e) => e % ranks === rank),
  );
  return Array.from({ length: sets }, () => byRank.map((held) => [...held]));
};

/** Creates the planner. */
export const createFirstMap = (options: FirstMapOptions): FirstMap => {
  const { shape, popularity, clock, metrics, log } = options;
  let opened: { epoch: number; at: number } | undefined;
  let wasOpen = false;
  /** Whether popularity was known when the group opened. */
  let wasKnown = false;
  let planned: { ranks: number; source: string; map: PlannedFirstMap | undefined } | undefined;
  let opening: Opening = { epoch: -1, failures: 0, isChanged: false, source: undefined };

  const planFor = (ranks: number): PlannedFirstMap | undefined => {
    const earlier = popularity();
    if (!earlier || ranks === 0) return undefined;
    const { source, shares } = earlier;
    if (planned?.ranks === ranks && planned.source === source) return planned.map;
    const current = initialPlacement(shape, ranks);
    const plan = options.plan(current, shares);
    planned = { ranks, source, map: plan && { source, current, plan } };
    const figures = plan && { before: plan.before, after: plan.after, copies: plan.copies };
    log.event('first-map-planned', { source, ranks, ...figures });
    return planned.map;
  };

  const isMapZero = ({ isOpen, map, epoch }: RankReport): boolean =>
    isOpen && map === INITIAL_MAP && !(opening.epoch === epoch && opening.isChanged);

  const enter = (epoch: number): void => {
    if (opening.epoch !== epoch) {
      opening = { epoch, failures: 0, isChanged: false, source: undefined };
    }
  };

  return {
    record: ({ epoch, isOpen }) => {
      const hasOpened = isOpen && (!wasOpen || opened?.epoch !== epoch);
      // A plan from the popularity before an earlier closure is outdated.
      if (wasOpen && (!isOpen || hasOpened)) planned = undefined;
      wasOpen = isOpen;
      if (hasOpened) {
        opened = { epoch, at: clock.monotonic() };
        wasKnown = popularity() !== undefined;
      }
      return hasOpened;
    },
    planAhead: ({ size }) => {
      planFor(size);
    },
    next: (report) => {
      if (!isMapZero(report)) return undefined;
      enter(report.epoch);
      // Counts of the open group are planned by in the regular checks, with the reports of all ranks.
      const isKnown = planned !== undefined || wasKnown || popularity()?.source === 'record';
      if (opening.failures >= MAX_ATTEMPTS || !isKnown) return undefined;
      const first = planned?.ranks === report.size ? planned.map : planFor(report.size);
      opening.source = first?.source;
      return first;
    },
    recordChange: (epoch, version, isSwitched) => {
      const isFirst = opening.epoch !== epoch || !opening.isChanged;
      enter(epoch);
      if (!isSwitched) opening.failures += 1;
      else opening.isChanged = true;
      if (!isSwitched || !isFirst || opened?.epoch !== epoch) return;
      const delayMs = Math.round(clock.monotonic() - opened.at);
      const source = opening.source ?? 'counts';
      metrics.record('rank_first_map_ms', delayMs, { source });
      log.event('first-map', { epoch, version, delayMs, source });
    },
    isOpening: (epoch) =>
      opening.epoch === epoch &&
      opened?.epoch === epoch &&
      clock.monotonic() - opened.at < OPENING_MS,
    initialMap: (report) => {
      const isTrusted = opening.epoch !== report.epoch || opening.failures === 0;
      return isMapZero(report) && isTrusted ? initialPlacement(shape, report.size) : undefined;
    },
  };
};
