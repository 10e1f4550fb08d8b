import { sleep } from '@plantaindrum/common';
import { evenLayers, faultsOfMap } from '../expert-map.js';
import type { HeartbeatAnswer } from '../messages.js';
import { defaultTimings } from '../types.js';
import type {
  Coordinator,
  CoordinatorOptions,
  CoordinatorRole,
  ExpertMapDocument,
} from '../types.js';
import { versionOf } from '../versions.js';
import { runChange } from './change.js';
import { createElection } from './election.js';
import { formGroup } from './forming.js';
import { createGroupCalls } from './group-calls.js';
import { viewGroup } from './group-view.js';
import type { GroupView } from './group-view.js';
import { createRebalancer } from './rebalancer.js';
import { registerFence } from './registration.js';
import type { Registrations } from './registration.js';

/** Share of a coordinator's heartbeat interval for each agent of a large group, in milliseconds. */
const HEARTBEAT_MS_PER_AGENT = 50;

/** Creates the coordinator task of one agent; it acts only while it holds the group's claim. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
  const { clock, random, metrics, logger, layout, group } = options;
  const timings = { ...defaultTimings, ...options.timings };
  const calls = createGroupCalls(options);
  const election = createElection(options, calls);
  const rebalancer = createRebalancer(options, calls);
  let role: CoordinatorRole = 'standby';
  let fence: number | undefined;
  let serial = 0;
  let registered: Registrations = new Map();
  let current: ExpertMapDocument | undefined;
  let nextPlanAt = 0;
  let closed = false;

  const heartbeatMs = (): number =>
    Math.max(timings.heartbeatMs, HEARTBEAT_MS_PER_AGENT * options.members().length);

  const nextVersion = (held: number): number => {
    serial += 1;
    return versionOf(held, serial);
  };

  const take = (won: number): void => {
    fence = won;
    serial = 0;
    registered = new Map();
  };

  const stepDown = (reason: string): void => {
    role = 'standby';
    fence = undefined;
    metrics.count('expert_coordinator_steps_down', { reason });
    logger.info(`group ${group}: no longer coordinator (${reason})`);
  };

  // Long jobs must not look like a dead coordinator to the agents that stand by.
  const withHeartbeats = async <T>(held: number, job: Promise<T>): Promise<T> => {
    let isRunning = true;
    const beat = async (): Promise<void> => {
      while (isRunning && !closed) {
        await sleep(clock, heartbeatMs());
        const nodes = options.members().map(({ node }) => node);
        if (isRunning) await calls.askAll(nodes, 'experts.heartbeat', { fence: held });
      }
    };
    void beat();
    const result = await job;
    isRunning = false;
    return result;
  };

  const fetchMap = async (version: number): Promise<ExpertMapDocument | undefined> => {
    if (current?.version === version) return current;
    for (const { node } of options.members()) {
      const map = await calls.ask<ExpertMapDocument | null>(node, 'experts.map', { version });
      if (map && 'layers' in map) return map;
    }
    return undefined;
  };

  /** A rank was lost or came back: a new number, or the held one while the log is down. */
  const renewClaim = async (): Promise<void> => {
    const claim = await election.claim();
    if (claim.outcome === 'won') take(claim.fence);
    if (claim.outcome === 'beaten') stepDown('beaten');
  };

  const layersToForm = async (beats: ReadonlyMap<string, HeartbeatAnswer>) => {
    const ranks = [...beats.values()].flatMap((beat) => beat.ranks);
    const version = Math.max(-1, ...ranks.map((rank) => rank.version ?? -1));
    const map = version < 0 ? undefined : await fetchMap(version);
    const isUsable = map !== undefined && faultsOfMap(map, layout).length === 0;
    return isUsable ? map.layers : evenLayers(layout);
  };

  const form = async (held: number, beats: Map<string, HeartbeatAnswer>): Promise<void> => {
    const layers = await layersToForm(beats);
    const map = { version: nextVersion(held), layers };
    const args = { fence: held, version: map.version, rankCount: layout.rankCount, map };
    const outcome = await withHeartbeats(held, formGroup(options, calls, beats, args));
    metrics.count('expert_groups_formed', { outcome });
    if (outcome === 'overtaken') stepDown(outcome);
    if (outcome !== 'formed') return;
    current = map;
    logger.info(`group ${group}: formed with map ${map.version}`);
  };

  const change = async (
    held: number,
    nodes: string[],
    layers: ExpertMapDocument['layers'],
  ): Promise<void> => {
    const map = { version: nextVersion(held), layers };
    const startedAt = clock.monotonic();
    const outcome = await withHeartbeats(
      held,
      runChange(options, calls, { fence: held, map, nodes }),
    );
    metrics.count('expert_changes', { outcome });
    metrics.record('expert_change_ms', clock.monotonic() - startedAt);
    logger.info(`group ${group}: change to map ${map.version} ${outcome}`);
    if (outcome === 'switched') current = map;
    if (outcome === 'overtaken') stepDown(outcome);
  };

  /**
   * The map in use is known to no agent once all of them have been replaced, or when the engines
   * formed by themselves. Without it no plan can be made, so the group would never be balanced
   * again; a change to the even map, by the usual protocol, gives the plans a map to start from.
   */
  const layersForUnknownMap = (): ExpertMapDocument['layers'] | undefined => {
    metrics.count('expert_maps_unknown', { group });
    return options.mayMove() ? evenLayers(layout) : undefined;
  };

  const rebalance = async (held: number, version: number, nodes: string[]): Promise<void> => {
    if (clock.monotonic() < nextPlanAt) return;
    nextPlanAt = clock.monotonic() + timings.planMs;
    current = await fetchMap(version);
    if (current) rebalancer.setMap(current);
    const layers = current ? await rebalancer.propose(nodes, held) : layersForUnknownMap();
    if (layers) await change(held, nodes, layers);
  };

  const register = async (held: number): Promise<void> => {
    const result = await registerFence(options, calls, held);
    metrics.count('expert_registrations', { outcome: result.outcome });
    if (result.outcome === 'registered') registered = result.instances;
    if (result.outcome === 'overtaken') stepDown(result.outcome);
  };

  const actOn = async (held: number, view: GroupView): Promise<void> => {
    switch (view.view) {
      case 'overtaken':
        stepDown(view.view);
        break;
      case 'restarted':
        await register(held);
        break;
      case 'blank':
        if (serial > 0) await renewClaim();
        if (fence === held) await form(held, view.beats);
        break;
      case 'steady':
        rebalancer.recordTimes(view.beats);
        await rebalance(held, view.version, [...view.beats.keys()]);
        break;
      default:
        metrics.count('expert_coordinator_waits', { reason: view.view });
    }
  };

  const act = async (): Promise<void> => {
    while (!closed && fence !== undefined) {
      const held = fence;
      const view = await viewGroup(options, calls, held, registered);
      await actOn(held, view);
      const isSettled = view.view !== 'restarted' && view.view !== 'blank';
      if (isSettled) await sleep(clock, heartbeatMs());
      else await sleep(clock, timings.askAfterMs);
    }
  };

  const stand = async (): Promise<void> => {
    const patience = timings.takeoverMs * (1 + random());
    const silentMs = clock.monotonic() - options.member.lastHeartbeat();
    if (silentMs < patience) {
      await sleep(clock, Math.max(timings.askAfterMs, patience - silentMs));
      return;
    }
    if (!(await election.isVacant())) {
      await sleep(clock, heartbeatMs() * (1 + random()));
      return;
    }
    role = 'claiming';
    const claim = await election.claim();
    role = claim.outcome === 'won' ? 'acting' : 'standby';
    if (claim.outcome !== 'won') {
      await sleep(clock, timings.heartbeatMs * (1 + random()));
      return;
    }
    take(claim.fence);
    logger.info(`group ${group}: coordinator under number ${claim.fence}`);
    await act();
  };

  return {
    run: async () => {
      while (!closed) await stand();
    },
    close: () => {
      closed = true;
    },
    status: () => ({
      role,
      fence,
      version: current?.version,
      stragglers: rebalancer.stragglers(),
      imbalance: rebalancer.imbalance(),
    }),
  };
};
