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

/**
 * Smallest heartbeat interval per agent of the group, in milliseconds; limits the load of large
 * groups.
 */
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
  let mapSerial = 0;
  let registered: Registrations = new Map();
  let currentMap: ExpertMapDocument | undefined;
  let nextPlanAt = 0;
  let closed = false;

  const heartbeatMs = (): number =>
    Math.max(timings.heartbeatMs, HEARTBEAT_MS_PER_AGENT * options.members().length);

  const nextVersion = (heldFence: number): number => {
    mapSerial += 1;
    return versionOf(heldFence, mapSerial);
  };

  const startTerm = (newFence: number): void => {
    fence = newFence;
    mapSerial = 0;
    registered = new Map();
  };

  const stepDown = (reason: string): void => {
    role = 'standby';
    fence = undefined;
    metrics.count('expert_coordinator_steps_down', { reason });
    logger.info(`group ${group}: no longer coordinator (${reason})`);
  };

  // During long jobs, the other agents must not take the coordinator for lost.
  const withHeartbeats = async <T>(heldFence: number, job: Promise<T>): Promise<T> => {
    let isRunning = true;
    const sendHeartbeats = async (): Promise<void> => {
      while (isRunning && !closed) {
        await sleep(clock, heartbeatMs());
        const nodes = options.members().map(({ node }) => node);
        if (isRunning) await calls.callAll(nodes, 'experts.heartbeat', { fence: heldFence });
      }
    };
    void sendHeartbeats();
    const result = await job;
    isRunning = false;
    return result;
  };

  const fetchMap = async (version: number): Promise<ExpertMapDocument | undefined> => {
    if (currentMap?.version === version) return currentMap;
    for (const { node } of options.members()) {
      const map = await calls.call<ExpertMapDocument | null>(node, 'experts.map', { version });
      if (map && 'layers' in map) return map;
    }
    return undefined;
  };

  /**
   * After a rank was lost or came back: a new fencing token, or the held one while the log is down.
   */
  const renewClaim = async (): Promise<void> => {
    const claim = await election.claim();
    if (claim.outcome === 'won') startTerm(claim.fence);
    if (claim.outcome === 'beaten') stepDown('beaten');
  };

  const chooseLayersToForm = async (replies: ReadonlyMap<string, HeartbeatAnswer>) => {
    const ranks = [...replies.values()].flatMap((reply) => reply.ranks);
    const version = Math.max(-1, ...ranks.map((rank) => rank.version ?? -1));
    const map = version < 0 ? undefined : await fetchMap(version);
    const isUsable = map !== undefined && faultsOfMap(map, layout).length === 0;
    return isUsable ? map.layers : evenLayers(layout);
  };

  const form = async (heldFence: number, replies: Map<string, HeartbeatAnswer>): Promise<void> => {
    const layers = await chooseLayersToForm(replies);
    const map = { version: nextVersion(heldFence), layers };
    const args = { fence: heldFence, version: map.version, rankCount: layout.rankCount, map };
    const outcome = await withHeartbeats(heldFence, formGroup(options, calls, replies, args));
    metrics.count('expert_groups_formed', { outcome });
    if (outcome === 'overtaken') stepDown(outcome);
    if (outcome !== 'formed') return;
    currentMap = map;
    logger.info(`group ${group}: formed with map ${map.version}`);
  };

  const change = async (
    heldFence: number,
    nodes: string[],
    layers: ExpertMapDocument['layers'],
  ): Promise<void> => {
    const map = { version: nextVersion(heldFence), layers };
    const startedAt = clock.monotonic();
    const outcome = await withHeartbeats(
      heldFence,
      runChange(options, calls, { fence: heldFence, map, nodes }),
    );
    metrics.count('expert_changes', { outcome });
    metrics.record('expert_change_ms', clock.monotonic() - startedAt);
    logger.info(`group ${group}: change to map ${map.version} ${outcome}`);
    if (outcome === 'switched') currentMap = map;
    if (outcome === 'overtaken') stepDown(outcome);
  };

  /**
   * No agent knows the map in use when all agents were replaced, or when the engines formed by
   * themselves. Plans need it, so the group would never be rebalanced again. A normal change to the
   * even map gives them a known map to start from.
   */
  const replacementLayers = (): ExpertMapDocument['layers'] | undefined => {
    metrics.count('expert_maps_unknown', { group });
    return options.mayMove() ? evenLayers(layout) : undefined;
  };

  const rebalance = async (heldFence: number, version: number, nodes: string[]): Promise<void> => {
    if (clock.monotonic() < nextPlanAt) return;
    nextPlanAt = clock.monotonic() + timings.planMs;
    currentMap = await fetchMap(version);
    if (currentMap) rebalancer.setMap(currentMap);
    const layers = currentMap ? await rebalancer.propose(nodes, heldFence) : replacementLayers();
    if (layers) await change(heldFence, nodes, layers);
  };

  const register = async (heldFence: number): Promise<void> => {
    const result = await registerFence(options, calls, heldFence);
    metrics.count('expert_registrations', { outcome: result.outcome });
    if (result.outcome === 'registered') registered = result.instances;
    if (result.outcome === 'overtaken') stepDown(result.outcome);
  };

  const handleView = async (heldFence: number, view: GroupView): Promise<void> => {
    switch (view.view) {
      case 'overtaken':
        stepDown(view.view);
        break;
      case 'restarted':
        await register(heldFence);
        break;
      case 'blank':
        if (mapSerial > 0) await renewClaim();
        if (fence === heldFence) await form(heldFence, view.replies);
        break;
      case 'steady':
        rebalancer.recordTimes(view.replies);
        await rebalance(heldFence, view.version, [...view.replies.keys()]);
        break;
      default:
        metrics.count('expert_coordinator_waits', { reason: view.view });
    }
  };

  const coordinate = async (): Promise<void> => {
    while (!closed && fence !== undefined) {
      const heldFence = fence;
      const view = await viewGroup(options, calls, heldFence, registered);
      await handleView(heldFence, view);
      const isStable = view.view !== 'restarted' && view.view !== 'blank';
      if (isStable) await sleep(clock, heartbeatMs());
      else await sleep(clock, timings.askAfterMs);
    }
  };

  const standBy = async (): Promise<void> => {
    const silenceTimeoutMs = timings.takeoverMs * (1 + random());
    const silentMs = clock.monotonic() - options.member.lastHeartbeatAt();
    if (silentMs < silenceTimeoutMs) {
      await sleep(clock, Math.max(timings.askAfterMs, silenceTimeoutMs - silentMs));
      return;
    }
    if (!(await election.hasNoCoordinator())) {
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
    startTerm(claim.fence);
    logger.info(`group ${group}: coordinator with fencing token ${claim.fence}`);
    await coordinate();
  };

  return {
    run: async () => {
      while (!closed) await standBy();
    },
    close: () => {
      closed = true;
    },
    status: () => ({
      role,
      fence,
      version: currentMap?.version,
      stragglers: rebalancer.stragglers(),
      imbalance: rebalancer.imbalance(),
    }),
  };
};
