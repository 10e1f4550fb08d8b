/** Balances one group: notices what is popular, plans a map, and makes the change. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { allRanks } from './change/group-port.js';
import type { GroupPort } from './change/group-port.js';
import { settleHeldPass } from './change/settle.js';
import { createMapSwitch } from './change/switch-map.js';
import type { SwitchOptions as MapSwitchOptions } from './change/switch-map.js';
import { nextVersion, versionsOf } from './change/versions.js';
import { picksEveryMs } from './links/teller.js';
import type { RankUpdate } from './member.js';
import { planChange } from './plan/plan.js';
import type { MapPlan } from './plan/plan.js';
import { createPopularity } from './plan/popularity.js';
import type { Popularity } from './plan/popularity.js';
import type { GroupShape, Placement, RankPlacement, RankReport, Weighs } from './types.js';

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
  port: GroupPort;
  ownRank: number;
  shape: GroupShape;
  weighs: Weighs;
  /** Whether this agent is the one to coordinate. */
  isLowest: () => boolean;
  placementOf: (rank: number) => Promise<RankPlacement | undefined>;
  /** Gives an order to the own rank from another VM; undefined when no other agent is linked. */
  orderOwnFromAfar: MapSwitchOptions['orderOwnFromAfar'];
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Between two looks at the group, in ms. */
const LOOK_MS = 40;
/** News older than this says nothing about a rank, in ms: six readings. */
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

interface KnownRank {
  report: RankReport;
  at: number;
}

/** Starts to coordinate; runs until `close`. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
  const { port, shape, clock, random, metrics, log } = options;
  const known = new Map<number, KnownRank>();
  const popularity: Popularity = createPopularity({
    sets: shape.sets,
    experts: shape.experts,
    pieceMs: () => picksEveryMs(port.size()),
    clock,
  });
  let stopped = false;
  let wasLowest = false;
  let leadSince = -Infinity;
  let placement: Placement | undefined;
  let placedEpoch = -1;
  let placedVersion = -1;
  let highest = 0;
  let planAgainAt = -Infinity;
  let heldSince: number | undefined;
  let switchedAt = -Infinity;
  let lastStep = { step: -1, at: -Infinity };

  const isPrepared = (rank: number, version: number): boolean =>
    known.get(rank)?.report.prepared === version;

  const switchMap = createMapSwitch({ ...options, isPrepared });

  const onUpdate = ({ report, picks }: RankUpdate): void => {
    // A late word of an engine's earlier start: it would show a map and preparations that are gone.
    if (report.startedAt < (known.get(report.rank)?.report.startedAt ?? 0)) return;
    known.set(report.rank, { report, at: clock.monotonic() });
    highest = Math.max(highest, versionsOf(report));
    if (report.step > lastStep.step || report.epoch !== placedEpoch) {
      lastStep = { step: report.step, at: clock.monotonic() };
    }
    if (picks.length > 0) popularity.add(picks);
  };

  /** Ranks whose agents are silent are read from here: their counts are missed, not their state. */
  const readSilent = async (): Promise<void> => {
    const oldest = clock.monotonic() - REPORT_VALID_MS;
    if (clock.monotonic() - leadSince < LINKING_MS) return;
    const silent = allRanks(port).filter((rank) => (known.get(rank)?.at ?? -Infinity) < oldest);
    await Promise.all(
      silent.map(async (rank) => {
        const report = await port.report(rank);
        if (report) onUpdate({ report, picks: [] });
      }),
    );
  };

  const openReports = (): RankReport[] | undefined => {
    const oldest = clock.monotonic() - 2 * REPORT_VALID_MS;
    const fresh = allRanks(port).flatMap((rank) => {
      const entry = known.get(rank);
      return entry && entry.at > oldest ? [entry.report] : [];
    });
    const isWhole =
      fresh.length === port.size() &&
      fresh.every(({ isOpen, epoch }) => isOpen && epoch === port.epoch());
    return isWhole ? fresh : undefined;
  };

  const loadPlacement = async (epoch: number): Promise<void> => {
    const all = await Promise.all(allRanks(port).map((rank) => options.placementOf(rank)));
    const loaded = all.flatMap((entry) => (entry?.epoch === epoch ? [entry] : []));
    const [first] = loaded;
    const isWhole =
      loaded.length === port.size() && loaded.every((e) => e.version === first?.version);
    if (!isWhole || !first) return;
    placement = first.experts.map((_, set) =>
      loaded.map((entry) => [...(entry.experts[set] ?? [])]),
    );
    placedEpoch = epoch;
    placedVersion = first.version;
    log.event('map-known', { epoch, version: first.version });
  };

  const settleIfHeld = async (reports: readonly RankReport[], epoch: number): Promise<boolean> => {
    const isHeld = reports.some(({ held }) => held !== undefined);
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
    const version = nextVersion(highest, random);
    highest = version;
    const { before, after, copies, mostCopies } = plan;
    const slowest = Math.max(...[...known.values()].map(({ report }) => report.pace));
    log.event('map-planned', { epoch, version, before, after, copies, slowest });
    const copyMs = mostCopies * shape.copyMs;
    const outcome = await switchMap({ epoch, version, placement: plan.placement, current, copyMs });
    metrics.count('rank_map_changes', { outcome });
    metrics.count('rank_experts_copied', {}, copies);
    if (outcome === 'switched') {
      placement = plan.placement;
      placedVersion = version;
      switchedAt = clock.monotonic();
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
    const plan = planChange(current, shares, shape, options.weighs, paces);
    const now = clock.monotonic();
    if (!plan) planAgainAt = now + (now - began) * REST_PER_PLANNING;
    return plan;
  };

  const look = async (): Promise<void> => {
    await readSilent();
    const reports = openReports();
    const epoch = port.epoch();
    if (!reports) return;
    if (placedEpoch !== epoch) placement = undefined;
    const isForeign = clock.monotonic() - switchedAt > FOREIGN_MS;
    if (isForeign && reports.some(({ map }) => map !== placedVersion)) placement = undefined;
    if (await settleIfHeld(reports, epoch)) return;
    if (!placement) {
      await loadPlacement(epoch);
      return;
    }
    const isIdle = clock.monotonic() - lastStep.at > IDLE_MS;
    // A rank that is armed takes no preparation: the last change waits for its pass.
    const isUnderWay = reports.some(({ map }) => map !== placedVersion);
    const shares = popularity.shares();
    if (isIdle || isUnderWay || !shares || clock.monotonic() < planAgainAt) return;
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
