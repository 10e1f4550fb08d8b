import type { Clock, Random } from '@plantaindrum/common';
import type { Health } from './health.js';
import { createHealth } from './health.js';
import { combineHashes, hashText } from './hash.js';
import type { LoadView } from './load-view.js';
import { createLoadView } from './load-view.js';
import { selectEjections } from './outliers.js';
import type { FirstByteLatency } from './first-byte-latency.js';
import { createFirstByteLatency } from './first-byte-latency.js';
import type { Distance } from './subset.js';
import { distanceOf, subsetOf } from './subset.js';
import type { EntryNode, Route, RouteRequest, Router, Upstream } from './types.js';

/** Settings of a router. */
export interface RouterOptions {
  clock: Clock;
  random: Random;
  /** This entry. */
  self: EntryNode;
  /** Number of entries that keep a link to each upstream. */
  entriesPerUpstream?: number;
  /** Smallest number of upstreams of one target that this entry keeps links to. */
  minUpstreams?: number;
  /** Largest multiple of the mean expected wait at which prefix affinity applies; 0 disables it. */
  affinityBound?: number;
}

/** State of one upstream at this entry. */
interface Member {
  upstream: Upstream;
  load: LoadView;
  latency: FirstByteLatency;
  health: Health;
  /** Whether the agent said that it is leaving; `upstream.leaving` is what the VM list says. */
  agentLeaving: boolean;
}

/** Penalty added to the expected wait for distance, in milliseconds. */
const DISTANCE_PENALTY_MS: Record<Distance, number> = { 'data-centre': 0, region: 3, far: 100 };
/** Drain rate assumed until an agent has measured one, in requests per second. */
const DEFAULT_DRAIN_PER_SECOND = 10;

const isLeaving = (member: Member): boolean =>
  member.agentLeaving || member.upstream.leaving === true;

/** Creates the router of one entry. */
export const createRouter = (options: RouterOptions): Router => {
  const { clock, random, self } = options;
  const { entriesPerUpstream = 4, minUpstreams = 16 } = options;
  const { affinityBound = 1.25 } = options;
  const members = new Map<string, Member>();
  let entries: readonly EntryNode[] = [];
  let subsets = new Map<string, Member[]>();

  const createMember = (upstream: Upstream): Member => ({
    upstream,
    load: createLoadView(clock),
    latency: createFirstByteLatency(clock),
    health: createHealth(upstream.id, clock),
    agentLeaving: false,
  });

  const subsetMembers = (target: string): Member[] => {
    const known = subsets.get(target);
    if (known) return known;
    const upstreams = [...members.values()]
      .map((member) => member.upstream)
      .filter((upstream) => upstream.target === target);
    const subset = subsetOf(upstreams, entries, {
      self,
      entriesPerUpstream,
      minUpstreams,
    });
    const found = subset.map((upstream) => members.get(upstream.id)!);
    subsets.set(target, found);
    return found;
  };

  const meanDrainPerSecond = (candidates: readonly Member[]): number => {
    const rates = candidates
      .map((member) => member.load.drainPerSecond())
      .filter((rate) => rate > 0);
    if (rates.length === 0) return DEFAULT_DRAIN_PER_SECOND;
    return rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  };

  /** Load score of an upstream: its expected wait plus the penalty for distance. */
  const expectedWaitMs = (member: Member, fallbackPerSecond: number): number => {
    const rate = member.load.drainPerSecond() || fallbackPerSecond;
    return (
      (1000 * (member.load.pending() + 1)) / rate +
      DISTANCE_PENALTY_MS[distanceOf(self, member.upstream)]
    );
  };

  const isUsable = (member: Member): boolean => {
    if (member.health.isSilent()) return false;
    const share = member.health.trafficShare();
    return share >= 1 || (share > 0 && random() < share);
  };

  const pickRandom = (candidates: readonly Member[]): Member =>
    candidates[Math.floor(random() * candidates.length)]!;

  const nearestOf = (candidates: readonly Member[]): Member[] => {
    const minPenaltyMs = Math.min(
      ...candidates.map((member) => DISTANCE_PENALTY_MS[distanceOf(self, member.upstream)]),
    );
    return candidates.filter(
      (member) => DISTANCE_PENALTY_MS[distanceOf(self, member.upstream)] === minPenaltyMs,
    );
  };

  /**
   * Chooses the best of three random candidates: two of the nearest and one farther away. Work
   * leaves the data centre only when the shorter wait outweighs the distance.
   */
  const chooseFromSamples = (candidates: readonly Member[]): Member => {
    const near = nearestOf(candidates);
    const others = candidates.filter((member) => !near.includes(member));
    const first = pickRandom(near);
    const second = pickRandom(near.length > 1 ? near.filter((member) => member !== first) : near);
    const choices = others.length > 0 ? [first, second, pickRandom(others)] : [first, second];
    const drain = meanDrainPerSecond(candidates);
    return choices.reduce((best, other) =>
      expectedWaitMs(other, drain) < expectedWaitMs(best, drain) ? other : best,
    );
  };

  /**
   * Chooses the first upstream in the prefix's rendezvous order whose expected wait is within the
   * bound. Consistent hashing with bounded loads (Mirrokni et al., 2018) keeps affinity from
   * overloading one upstream.
   */
  const chooseByPrefix = (prefix: string, candidates: readonly Member[]): Member => {
    const near = candidates.filter((member) => distanceOf(self, member.upstream) !== 'far');
    const local = near.length > 0 ? near : candidates;
    const drain = meanDrainPerSecond(local);
    const waits = local.map((member) => expectedWaitMs(member, drain));
    const mean = waits.reduce((sum, wait) => sum + wait, 0) / local.length;
    const bound = affinityBound * mean + 1000 / drain;
    const seed = hashText(prefix);
    const withinBound = local.filter((_, n) => waits[n]! <= bound);
    const score = (member: Member) => combineHashes(seed, hashText(member.upstream.id));
    return withinBound.reduce((best, member) => (score(member) > score(best) ? member : best));
  };

  const chooseLastResort = (candidates: readonly Member[]): Route => {
    const reachable = candidates.filter((member) => !member.health.isSilent());
    const chosen = chooseFromSamples(reachable.length > 0 ? reachable : candidates);
    return { upstream: chosen.upstream.id, method: 'last-resort' };
  };

  const choose = (request: RouteRequest): Route => {
    const staying = subsetMembers(request.target).filter((member) => !isLeaving(member));
    if (staying.length === 0) return { upstream: undefined, reason: 'no-upstream' };
    const candidates = staying.filter((member) => !request.exclude?.has(member.upstream.id));
    if (candidates.length === 0) return { upstream: undefined, reason: 'all-excluded' };
    const usable = candidates.filter(isUsable);
    const [only] = usable;
    if (!only) return chooseLastResort(candidates);
    if (usable.length === 1) return { upstream: only.upstream.id, method: 'only-one' };
    if (request.prefix !== undefined && affinityBound > 0) {
      return { upstream: chooseByPrefix(request.prefix, usable).upstream.id, method: 'prefix' };
    }
    return { upstream: chooseFromSamples(usable).upstream.id, method: 'two-choices' };
  };

  return {
    setUpstreams: (upstreams) => {
      const listed = new Set(upstreams.map(({ id }) => id));
      [...members.keys()].filter((id) => !listed.has(id)).forEach((id) => members.delete(id));
      upstreams.forEach((upstream) => {
        const known = members.get(upstream.id);
        if (known) known.upstream = upstream;
        else members.set(upstream.id, createMember(upstream));
      });
      subsets = new Map();
    },
    setEntries: (known) => {
      entries = known;
      subsets = new Map();
    },
    subset: (target) => subsetMembers(target).map((member) => member.upstream.id),
    choose,
    recordDispatch: (upstream) => {
      const member = members.get(upstream);
      if (!member) return createFirstByteLatency(clock).track(() => {});
      member.load.recordDispatch();
      return member.latency.track(() => member.load.recordEnd());
    },
    recordLoad: (upstream, load) => {
      const member = members.get(upstream);
      if (!member) return;
      member.load.recordLoad(load);
      member.agentLeaving = load.leaving;
    },
    recordLaggedLoad: (upstream, report) => members.get(upstream)?.load.recordLaggedReport(report),
    setSilent: (upstream, silent) => members.get(upstream)?.health.setSilent(silent),
    markLeaving: (upstream) => {
      const member = members.get(upstream);
      if (member) member.agentLeaving = true;
    },
    updateHealth: () => {
      const advanced = [...members.values()].map((member) => member.health.advance());
      const targets = new Set([...members.values()].map((member) => member.upstream.target));
      const ejected = [...targets].flatMap((target) =>
        selectEjections(subsetMembers(target)).map(({ member, reason }) => {
          member.latency.reset();
          return member.health.eject(reason);
        }),
      );
      return [...advanced.filter((change) => change !== undefined), ...ejected];
    },
    status: () =>
      [...members.values()].map((member) => ({
        id: member.upstream.id,
        target: member.upstream.target,
        health: member.health.state(),
        silent: member.health.isSilent(),
        leaving: isLeaving(member),
        outstanding: member.load.outstanding(),
        ...member.load.latest(),
        firstByteMs: member.latency.smoothedMs(),
      })),
  };
};
