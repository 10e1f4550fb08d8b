/** Balances one group: notices what is popular, plans a map, and makes the change. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { allRanks } from './change/group-port.js';
import { settleHeldPass } from './change/settle.js';
import { createMapSwitch } from './change/switch-map.js';
import type { SwitchOptions as MapSwitchOptions } from './change/switch-map.js';
import { nextVersion } from './change/versions.js';
import { createKnownReports } from './known-reports.js';
import { createObstacles } from './obstacles.js';
import { createMapReader } from './map-reader.js';
import { planChange } from './plan/plan.js';
import type { MapPlan } from './plan/plan.js';
import { createPopularity } from './plan/popularity.js';
import type { Popularity } from './plan/popularity.js';
import type { CoordinatorPort } from './tree/rank-port.js';
import type { GroupShape, Placement, RankReport, Weighs } from './types.js';

/** What a coordinator is told of a rank. */
export interface RankUpdate {
  report: RankReport;
  /** Picks of each expert since the last update. */
  picks: number[];
}

/** The part of an agent that coordinates its group while no lower rank does. */
export interface Coordinator {
  /** Takes the update of a rank. */
  onUpdate(update: RankUpdate): void;
  /** Takes picks that ranks have summed on the way. */
  onPicks(picks: readonly number[]): void;
  close(): void;
}

/** Options of `createCoordinator`. */
export interface CoordinatorOptions {
  port: Omit<CoordinatorPort, 'news' | 'passOnNodes'>;
  ownRank: number;
  shape: GroupShape;
  weighs: Weighs;
  /** Whether this agent is the one to coordinate. */
  isLowest: () => boolean;
  /** Resolves once it is; at once while it is. */
  untilLowest: () => Promise<void>;
  /** A map that this agent has been told or has planned; it need not be read from the ranks. */
  knownPlacement: (epoch: number, version: number) => Placement | undefined;
  /** How long apart ranks tell their news, in ms. */
  newsEveryMs: () => number;
  /** Gives an order to the own rank from another VM; undefined when no other agent is linked. */
  orderOwnFromAfar: MapSwitchOptions['orderOwnFromAfar'];
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Between two looks at the group, in ms. */
const LOOK_MS = 40;
/** News that is older by this than the usual says nothing about a rank, in ms: six readings. */
const REPORT_VALID_MS = 500;
/** A pass that has been held this long by nobody at work here is settled, in ms: some ten orders. */
const HELD_MS = 250;
/** Pause after a change that did not come about, in ms. */
const FAILED_MS = 200;
/** Reports that show another map this long after a change show that somebody else made one, in ms. */
const FOREIGN_MS = 1_000;
/**
 * Time for agents to link up with a new coordinator, in ms. All agents of a group that starts are
 * the lowest for a moment, and each would ask every engine.
 */
const LINKING_MS = 1_000;
/** A group that has begun no pass for this long is idle and is left alone, in ms. */
const IDLE_MS = 600;

/**
 * Rest after planning that found nothing, in times of what it took: planning for 72 ranks and 1,728
 * experts takes 20 ms of a whole core, and every look would plan again.
 */
const REST_PER_PLANNING = 8;

/**
 * Most time of one plan, in ms. Ranks wait with the uneven map meanwhile, and this agent answers nobody; what is left
 * comes with the next change.
 */
const PLANNING_MS = 100;

/** Part of the time between news that makes a piece of counts: timers fire early and late. */
const PIECE_SHARE = 0.7;
/** Starts to coordinate; runs until `close`. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
  const { port, shape, clock, random, metrics, log } = options;
  const known = createKnownReports(clock);
  const popularity: Popularity = createPopularity({
    sets: shape.sets,
    experts: shape.experts,
    ranks: port.size,
    pieceMs: () => options.newsEveryMs() * PIECE_SHARE,
    clock,
  });
  let stopped = false;
  let wasLowest = false;
  let leadSince = -Infinity;
  let placement: Placement | undefined;
  let placedEpoch = -1;
  let placedVersion = -1;
  let planned = 0;
  let planAgainAt = -Infinity;
  /** Time that the last plan took, in ms. */
  let planningMs = 0;
  let heldSince: number | undefined;
  let switchedAt = -Infinity;

  const switchMap = createMapSwitch({
    ...options,
    passMs: known.passes.passMs,
    targetMs: shape.targetPauseMs,
  });
  const mapReader = createMapReader({
    known: options.knownPlacement,
    placements: port.placements,
    log,
  });
  // All agents of a group that starts coordinate for a moment, and each knows but few ranks.
  const isLinking = (): boolean => clock.monotonic() - leadSince < LINKING_MS;
  const noteObstacle = createObstacles(isLinking, clock, log);

  const onUpdate = ({ report, picks }: RankUpdate): void => {
    known.note(report);
    if (picks.length > 0) popularity.add(picks);
  };

  const validMs = (): number => REPORT_VALID_MS + 2 * options.newsEveryMs();

  /** Ranks whose agents are silent are read from here: their counts are missed, not their state. */
  const readSilent = async (): Promise<void> => {
    if (isLinking()) return;
    const silent = known.olderThan(allRanks(port), validMs());
    if (silent.length === 0) return;
    (await port.reports(silent)).forEach((report) => onUpdate({ report, picks: [] }));
  };

  const openReports = (): RankReport[] | undefined => {
    const ranks = allRanks(port);
    const silent = known.olderThan(ranks, 2 * validMs());
    const [first] = silent;
    if (first !== undefined || ranks.length === 0) {
      noteObstacle('ranks-silent', { silent: silent.length, ranks: ranks.length, first });
      return undefined;
    }
    const reports = ranks.flatMap((rank) => known.of(rank) ?? []);
    const closed = reports.filter(({ isOpen, epoch }) => !isOpen || epoch !== port.epoch());
    if (closed.length > 0) {
      noteObstacle('group-closed', { closed: closed.length, epoch: port.epoch() });
      return undefined;
    }
    return reports;
  };

  const loadPlacement = async (epoch: number): Promise<void> => {
    const version = known.of(options.ownRank)?.map;
    if (version === undefined) return;
    placement = await mapReader.read(epoch, version, allRanks(port));
    if (!placement) {
      noteObstacle('map-unknown', { epoch, version });
      return;
    }
    placedEpoch = epoch;
    placedVersion = version;
    port.noteMapInUse(epoch, version, placement);
    log.event('map-known', { epoch, version });
  };

  const settleIfHeld = async (reports: readonly RankReport[], epoch: number): Promise<boolean> => {
    // A pass that has begun is not held any more, though the report of a far rank may still say so.
    const begun = Math.max(...reports.map(({ step }) => step));
    const isHeld = reports.some(({ held }) => held !== undefined && held > begun);
    const now = clock.monotonic();
    heldSince = isHeld ? (heldSince ?? now) : undefined;
    if (heldSince === undefined) return false;
    if (now - heldSince < HELD_MS) return true;
    const mapInUse = async (): Promise<Placement | undefined> => {
      if (!placement) await loadPlacement(epoch);
      return placement;
    };
    const outcome = await settleHeldPass(epoch, mapInUse, { port, clock, random, log });
    metrics.count('rank_settled', { outcome });
    log.event('settled', { epoch, outcome });
    heldSince = undefined;
    placement = undefined;
    return true;
  };

  const change = async (plan: MapPlan, epoch: number, current: Placement): Promise<void> => {
    const version = nextVersion(Math.max(planned, known.highestVersion()), random);
    planned = version;
    const { before, after, copies, mostCopies } = plan;
    const slowest = Math.max(...allRanks(port).map((rank) => known.of(rank)?.pace ?? 1));
    const newsMs = Math.round(options.newsEveryMs());
    log.event('map-planned', {
      epoch,
      version,
      before,
      after,
      copies,
      slowest,
      planningMs,
      newsMs,
    });
    const copyMs = mostCopies * shape.copyMs;
    const outcome = await switchMap({ epoch, version, placement: plan.placement, current, copyMs });
    // The last report of the own rank may be of the time in which it held the pass.
    const own = await port.report(options.ownRank);
    if (own) onUpdate({ report: own, picks: [] });
    metrics.count('rank_map_changes', { outcome });
    metrics.count('rank_experts_copied', {}, copies);
    if (outcome === 'switched') {
      placement = plan.placement;
      placedVersion = version;
      switchedAt = clock.monotonic();
      port.noteMapInUse(epoch, version, placement);
      return;
    }
    log.event('map-not-changed', { epoch, version, outcome });
    placement = undefined;
    await sleep(clock, FAILED_MS);
  };

  const planNow = (
    current: Placement,
    shares: readonly (readonly number[])[],
    paces: readonly number[],
  ): MapPlan | undefined => {
    const began = clock.monotonic();
    const mayGoOn = (): boolean => clock.monotonic() - began < PLANNING_MS;
    const plan = planChange(current, shares, shape, options.weighs, paces, mayGoOn);
    const now = clock.monotonic();
    planningMs = Math.round(now - began);
    if (!plan) planAgainAt = now + planningMs * REST_PER_PLANNING;
    return plan;
  };

  const look = async (): Promise<void> => {
    await readSilent();
    const reports = openReports();
    const epoch = port.epoch();
    if (!reports) return;
    if (placedEpoch !== epoch) placement = undefined;
    // All ranks begin each pass together, so the one at hand, whose report is newest, tells their map.
    const isOther = known.of(options.ownRank)?.map !== placedVersion;
    const isForeign = clock.monotonic() - switchedAt > FOREIGN_MS;
    if (isForeign && isOther) placement = undefined;
    if (await settleIfHeld(reports, epoch)) {
      noteObstacle('pass-held', { epoch });
      return;
    }
    if (!placement) {
      await loadPlacement(epoch);
      return;
    }
    const isIdle = known.passes.sinceLast() > IDLE_MS;
    // A rank that is armed takes no preparation: the last change waits for its pass.
    noteObstacle(isOther ? 'change-under-way' : undefined, { epoch });
    const shares = popularity.shares();
    if (isIdle || isOther || !shares || clock.monotonic() < planAgainAt) return;
    const paces = reports.map(({ pace }) => pace);
    const plan = planNow(placement, shares, paces);
    if (plan) await change(plan, epoch, placement);
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      await sleep(clock, LOOK_MS);
      const isLowest = options.isLowest();
      if (isLowest !== wasLowest) log.event('coordinating', { isLowest, version: placedVersion });
      if (isLowest && !wasLowest) {
        placement = undefined;
        leadSince = clock.monotonic();
      }
      wasLowest = isLowest;
      if (isLowest && !stopped) await look();
      if (!isLowest) await options.untilLowest();
    }
  };
  void run();

  return {
    onUpdate,
    onPicks: popularity.add,
    close: () => {
      stopped = true;
    },
  };
};
