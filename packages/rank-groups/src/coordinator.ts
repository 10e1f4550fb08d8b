/** Balances one group: follows the experts' load, plans a new map and makes the change. */

import { createPause, sleep } from '@plantaindrum/common';
import { allRanks } from './change/group-port.js';
import { createFirstMap } from './change/first-map.js';
import { createHeldPassWatch } from './change/held-pass-watch.js';
import { createMapSwitch } from './change/switch-map.js';
import { nextVersion } from './change/versions.js';
import type { Coordinator, CoordinatorOptions, RankUpdate } from './coordinator-options.js';
import { createGroupReports } from './group-reports.js';
import { createLatestReports } from './latest-reports.js';
import { createBlockerLog } from './blockers.js';
import { createMapReader } from './map-reader.js';
import { createKnownPopularity } from './plan/known-popularity.js';
import type { Shares } from './plan/known-popularity.js';
import { createPacedPlanner } from './plan/paced-planner.js';
import type { MapPlan } from './plan/plan.js';
import { createPopularity } from './plan/popularity.js';
import type { Popularity } from './plan/popularity.js';
import type { Placement } from './types.js';

/** Time between two checks of the group, in ms. */
const POLL_INTERVAL_MS = 40;
/** The same while a group has just opened and its map changes several times, in ms. */
const OPENING_POLL_INTERVAL_MS = 15;
/** Pause after a failed change, in ms. */
const FAILED_CHANGE_DELAY_MS = 200;
/**
 * Reports may still show the previous map for this long after a switch, in ms. Another map after
 * that means that another coordinator has made a change.
 */
const SWITCH_REPORT_DELAY_MS = 1_000;
/**
 * Time for agents to link to a new coordinator, in ms. While a group starts, every agent is briefly
 * the lowest that it knows of, and each would query every engine.
 */
const LINKING_PERIOD_MS = 1_000;
/**
 * Time for which an agent has to coordinate before it plans the first map of a group, in ms: while
 * agents start, several are the lowest that they know of, and each would plan. Links take about
 * 0.2 s, and a group opens 0.6 s after its last rank is back.
 */
const SETTLING_MS = 300;
/** Pause after a failed attempt at the first change of an opened group, in ms. */
const FAILED_FIRST_CHANGE_DELAY_MS = 30;
/** A group that has begun no pass for this long is idle, and no change is planned for it, in ms. */
const IDLE_AFTER_MS = 600;

/**
 * Sample time as a fraction of the telemetry interval; below 1 because timers fire early and late.
 */
const SAMPLE_TIME_FACTOR = 0.7;
/** Starts to coordinate; runs until `close`. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
  const { port, shape, clock, random, metrics, log } = options;
  const latestReports = createLatestReports(clock);
  const popularity: Popularity = createPopularity({
    sets: shape.sets,
    experts: shape.experts,
    ranks: port.size,
    sampleMs: () => options.telemetryIntervalMs() * SAMPLE_TIME_FACTOR,
    clock,
  });
  let stopped = false;
  let wasLowest = false;
  let coordinatingSince = -Infinity;
  let placement: Placement | undefined;
  let mapEpoch = -1;
  let mapVersion = -1;
  let lastPlannedVersion = 0;
  let nextPlan: { from: Placement; plan: MapPlan | undefined } | undefined;
  let switchedAt = -Infinity;

  const planner = createPacedPlanner(shape, options.weighs, clock);
  const known = createKnownPopularity(popularity, options.keptPopularity);
  const firstMap = createFirstMap({
    shape,
    popularity: known.earlier,
    plan: (current, shares) =>
      planner.plan(
        current,
        shares,
        allRanks(port).map((rank) => latestReports.get(rank)?.pace ?? 1),
      ),
    clock,
    metrics,
    log,
  });
  const pause = createPause(clock);

  const switchMap = createMapSwitch({
    ...options,
    passMs: latestReports.passes.passMs,
    targetMs: shape.targetPauseMs,
  });
  const mapReader = createMapReader({
    cachedPlacement: options.cachedPlacement,
    placements: port.placements,
    log,
  });
  // While a group starts, each agent coordinates briefly and knows only a few ranks.
  const isLinking = (): boolean => clock.monotonic() - coordinatingSince < LINKING_PERIOD_MS;
  const recordBlocker = createBlockerLog(isLinking, clock, log);
  const groupReports = createGroupReports({
    port,
    latestReports,
    telemetryIntervalMs: options.telemetryIntervalMs,
    recordBlocker,
  });

  const onUpdate = ({ report, counts }: RankUpdate): void => {
    latestReports.record(report);
    if (report.rank === options.ownRank && firstMap.record(report)) pause.end();
    if (counts.length > 0) popularity.add(counts);
  };

  const loadPlacement = async (epoch: number): Promise<void> => {
    const version = latestReports.get(options.ownRank)?.map;
    if (version === undefined) return;
    const ownReport = latestReports.get(options.ownRank);
    const initial = known.isKept() && ownReport ? firstMap.initialMap(ownReport) : undefined;
    placement = initial ?? (await mapReader.read(epoch, version, allRanks(port)));
    if (!placement) {
      recordBlocker('map-unknown', { epoch, version });
      return;
    }
    mapEpoch = epoch;
    mapVersion = version;
    port.publishMapInUse(epoch, version, placement);
    log.event('map-known', { epoch, version });
  };

  const mapInUse = async (epoch: number): Promise<Placement | undefined> => {
    if (!placement) await loadPlacement(epoch);
    return placement;
  };
  const heldPass = createHeldPassWatch({ port, mapInUse, clock, random, metrics, log });

  const readOwnReport = async (): Promise<void> => {
    const report = await port.report(options.ownRank);
    if (report) onUpdate({ report, counts: [] });
  };

  const changeMap = async (
    plan: MapPlan,
    epoch: number,
    current: Placement,
    isFirst = false,
  ): Promise<void> => {
    const version = nextVersion(
      Math.max(lastPlannedVersion, latestReports.highestVersion()),
      random,
    );
    lastPlannedVersion = version;
    const { before, after, copies, maxCopiesPerRank } = plan;
    const slowest = Math.max(...allRanks(port).map((rank) => latestReports.get(rank)?.pace ?? 1));
    const newsMs = Math.round(options.telemetryIntervalMs());
    log.event('map-planned', {
      epoch,
      version,
      before,
      after,
      copies,
      slowest,
      planningMs: planner.lastMs(),
      newsMs,
    });
    const copyMs = maxCopiesPerRank * shape.copyMs;
    const change = { epoch, version, placement: plan.placement, current, copyMs };
    const outcome = await switchMap({ ...change, holdsNextPass: isFirst });
    // The last report of the local rank may date from when it held the pass.
    await readOwnReport();
    metrics.count('rank_map_changes', { outcome });
    metrics.count('rank_experts_copied', {}, copies);
    firstMap.recordChange(epoch, version, outcome === 'switched');
    if (outcome === 'switched') {
      mapEpoch = epoch;
      placement = plan.placement;
      mapVersion = version;
      switchedAt = clock.monotonic();
      port.publishMapInUse(epoch, version, placement);
      return;
    }
    log.event('map-not-changed', { epoch, version, outcome });
    placement = undefined;
    await sleep(clock, isFirst ? FAILED_FIRST_CHANGE_DELAY_MS : FAILED_CHANGE_DELAY_MS);
  };

  /**
   * Plans the first map of a closed group, and changes to it when the group has opened; true when
   * it has. It needs only the local rank's report: orders name the epoch, and ranks of another one
   * refuse them.
   */
  const changeToFirstMap = async (): Promise<boolean> => {
    const report = latestReports.get(options.ownRank);
    const isSettled = clock.monotonic() - coordinatingSince >= SETTLING_MS;
    if (!known.isKept() || !report || !isSettled) return false;
    if (!report.isOpen) firstMap.planAhead(report);
    // A change of another coordinator is under way, or was when it was lost.
    const isOtherChange = allRanks(port).some((rank) => {
      const { epoch, held, armed } = latestReports.get(rank) ?? {};
      return epoch === report.epoch && (held !== undefined || armed !== undefined);
    });
    if (isOtherChange) return false;
    const first = firstMap.next(report);
    if (!first) return false;
    await changeMap(first.plan, report.epoch, first.current, true);
    return true;
  };

  /**
   * Plans the next change of a group that has just opened while its ranks wait for the pass of the
   * last one, so that the changes follow each other at once.
   */
  const planWhileSwitching = async (
    from: Placement,
    shares: Shares,
    slowdowns: readonly number[],
  ): Promise<void> => {
    if (nextPlan?.from !== from) {
      nextPlan = { from, plan: planner.plan(from, shares, slowdowns) };
    }
    await readOwnReport();
  };

  const checkGroup = async (): Promise<void> => {
    if (await changeToFirstMap()) return;
    if (!isLinking()) {
      const reread = await groupReports.readUnresponsiveRanks();
      reread.forEach((report) => onUpdate({ report, counts: [] }));
    }
    const reports = groupReports.ofOpenGroup();
    const epoch = port.epoch();
    if (!reports) return;
    if (mapEpoch !== epoch) placement = undefined;
    // All ranks begin each pass together, so the local rank, whose report is the latest, shows the
    // map of all.
    const hasOtherMap = latestReports.get(options.ownRank)?.map !== mapVersion;
    const areReportsCurrent = clock.monotonic() - switchedAt > SWITCH_REPORT_DELAY_MS;
    if (areReportsCurrent && hasOtherMap) placement = undefined;
    const held = await heldPass.check(reports, epoch);
    if (held === 'resolved') placement = undefined;
    if (held !== 'none') {
      recordBlocker('pass-held', { epoch });
      return;
    }
    if (!placement) {
      await loadPlacement(epoch);
      return;
    }
    const isIdle = latestReports.passes.msSinceLast() > IDLE_AFTER_MS;
    // An armed rank refuses to prepare another map until the pass of the previous change has begun.
    recordBlocker(hasOtherMap ? 'change-under-way' : undefined, { epoch });
    const isOpening = known.isKept() && firstMap.isOpening(epoch);
    const shares = known.current(isOpening);
    if (isIdle || !shares || !planner.isDue()) return;
    const slowdowns = reports.map(({ pace }) => pace);
    if (hasOtherMap) {
      if (isOpening) await planWhileSwitching(placement, shares, slowdowns);
      return;
    }
    const isPlanned = nextPlan?.from === placement;
    const plan = isPlanned ? nextPlan?.plan : planner.plan(placement, shares, slowdowns);
    nextPlan = undefined;
    if (plan) await changeMap(plan, epoch, placement);
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      const isOpening = known.isKept() && firstMap.isOpening(port.epoch());
      await pause.wait(isOpening ? OPENING_POLL_INTERVAL_MS : POLL_INTERVAL_MS);
      const isLowest = options.isLowest();
      if (isLowest !== wasLowest) log.event('coordinating', { isLowest, version: mapVersion });
      if (isLowest && !wasLowest) {
        placement = undefined;
        coordinatingSince = clock.monotonic();
      }
      wasLowest = isLowest;
      if (isLowest && !stopped) await checkGroup();
      if (!isLowest) await options.whenLowest();
    }
  };
  void run();

  return {
    onUpdate,
    onSelectionCounts: popularity.add,
    close: () => {
      stopped = true;
    },
  };
};
