import type { Clock, Random } from '@plantaindrum/common';
import type { Health } from './health.js';
import { createHealth } from './health.js';
import { combineHashes, hashText } from './hash.js';
import type { LoadView } from './load-view.js';
import { createLoadView } from './load-view.js';
import { ejectionsDue } from './outliers.js';
import type { Pace } from './pace.js';
import { createPace } from './pace.js';
import type { Distance } from './subset.js';
import { distanceOf, subsetOf } from './subset.js';
import type { EntryNode, Route, RouteRequest, Router, Upstream } from './types.js';

/** Settings of a router. */
export interface RouterOptions {
  clock: Clock;
  random: Random;
  /** This entry. */
  self: EntryNode;
  /** Entries that keep a link to each upstream. */
  entriesPerUpstream?: number;
  /** Fewest upstreams of one target that this entry keeps links to. */
  leastUpstreams?: number;
  /** How far above the mean load a prefix's own upstream may be; 0 turns affinity off. */
  affinityBound?: number;
}

/** All that one entry knows of one upstream. */
interface Member {
  upstream: Upstream;
  load: LoadView;
  pace: Pace;
  health: Health;
  /** Its agent's word; the VM list's stands in `upstream`. */
  agentLeaves: boolean;
}

/** Added to the expected wait by distance, in milliseconds. */
const DISTANCE_MS: Record<Distance, number> = { 'data-centre': 0, region: 3, far: 100 };
/** Assumed until any agent has measured its drain rate, in requests a second. */
const DEFAULT_DRAIN = 10;

const isLeaving = (member: Member): boolean =>
  member.agentLeaves || member.upstream.leaving === true;

/** Creates the router of one entry. */
export const createRouter = (options: RouterOptions): Router => {
  const { clock, random, self } = options;
  const { entriesPerUpstream = 4, leastUpstreams = 16 } = options;
  const { affinityBound = 1.25 } = options;
  const members = new Map<string, Member>();
  let entries: readonly EntryNode[] = [];
  let subsets = new Map<string, Member[]>();

  const memberOf = (upstream: Upstream): Member => ({
    upstream,
    load: createLoadView(clock),
    pace: createPace(clock),
    health: createHealth(upstream.id, clock),
    agentLeaves: false,
  });

  const subsetMembers = (target: string): Member[] => {
    const known = subsets.get(target);
    if (known) return known;
    const upstreams = [...members.values()]
      .map((member) => member.upstream)
      .filter((upstream) => upstream.target === target);
    const subset = subsetOf(upstreams, entries, { self, entriesPerUpstream, leastUpstreams });
    const found = subset.map((upstream) => members.get(upstream.id)!);
    subsets.set(target, found);
    return found;
  };

  const meanDrain = (among: readonly Member[]): number => {
    const rates = among.map((member) => member.load.drainPerSecond()).filter((rate) => rate > 0);
    if (rates.length === 0) return DEFAULT_DRAIN;
    return rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  };

  /** Expected wait at an upstream, in milliseconds. */
  const waitOf = (member: Member, fallbackDrain: number): number => {
    const rate = member.load.drainPerSecond() || fallbackDrain;
    return (
      (1000 * (member.load.pending() + 1)) / rate + DISTANCE_MS[distanceOf(self, member.upstream)]
    );
  };

  const isUsable = (member: Member): boolean => {
    if (member.health.isSilent()) return false;
    const share = member.health.share();
    return share >= 1 || (share > 0 && random() < share);
  };

  const pick = (among: readonly Member[]): Member => among[Math.floor(random() * among.length)]!;

  const nearestOf = (among: readonly Member[]): Member[] => {
    const least = Math.min(
      ...among.map((member) => DISTANCE_MS[distanceOf(self, member.upstream)]),
    );
    return among.filter((member) => DISTANCE_MS[distanceOf(self, member.upstream)] === least);
  };

  /** Two of the nearest and one of the others, so that work leaves a data centre only if it pays. */
  const twoChoices = (among: readonly Member[]): Member => {
    const near = nearestOf(among);
    const others = among.filter((member) => !near.includes(member));
    const first = pick(near);
    const second = pick(near.length > 1 ? near.filter((member) => member !== first) : near);
    const choices = others.length > 0 ? [first, second, pick(others)] : [first, second];
    const drain = meanDrain(among);
    return choices.reduce((best, other) =>
      waitOf(other, drain) < waitOf(best, drain) ? other : best,
    );
  };

  /**
   * The first upstream in the prefix's rendezvous order that is not loaded above the bound. Bounded
   * loads (Mirrokni et al., 2018): affinity may not push one upstream above the others.
   */
  const byPrefix = (prefix: string, among: readonly Member[]): Member => {
    const near = among.filter((member) => distanceOf(self, member.upstream) !== 'far');
    const local = near.length > 0 ? near : among;
    const drain = meanDrain(local);
    const waits = local.map((member) => waitOf(member, drain));
    const mean = waits.reduce((sum, wait) => sum + wait, 0) / local.length;
    const bound = affinityBound * mean + 1000 / drain;
    const seed = hashText(prefix);
    const within = local.filter((_, n) => waits[n]! <= bound);
    const score = (member: Member) => combineHashes(seed, hashText(member.upstream.id));
    return within.reduce((best, member) => (score(member) > score(best) ? member : best));
  };

  const lastResort = (among: readonly Member[]): Route => {
    const heard = among.filter((member) => !member.health.isSilent());
    const chosen = twoChoices(heard.length > 0 ? heard : among);
    return { upstream: chosen.upstream.id, method: 'last-resort' };
  };

  const choose = (request: RouteRequest): Route => {
    const staying = subsetMembers(request.target).filter((member) => !isLeaving(member));
    if (staying.length === 0) return { upstream: undefined, reason: 'no-upstream' };
    const candidates = staying.filter((member) => !request.exclude?.has(member.upstream.id));
    if (candidates.length === 0) return { upstream: undefined, reason: 'all-excluded' };
    const usable = candidates.filter(isUsable);
    const [only] = usable;
    if (!only) return lastResort(candidates);
    if (usable.length === 1) return { upstream: only.upstream.id, method: 'only-one' };
    if (request.prefix !== undefined && affinityBound > 0) {
      return { upstream: byPrefix(request.prefix, usable).upstream.id, method: 'prefix' };
    }
    return { upstream: twoChoices(usable).upstream.id, method: 'two-choices' };
  };

  return {
    setUpstreams: (upstreams) => {
      const listed = new Set(upstreams.map(({ id }) => id));
      [...members.keys()].filter((id) => !listed.has(id)).forEach((id) => members.delete(id));
      upstreams.forEach((upstream) => {
        const known = members.get(upstream.id);
        if (known) known.upstream = upstream;
        else members.set(upstream.id, memberOf(upstream));
      });
      subsets = new Map();
    },
    setEntries: (known) => {
      entries = known;
      subsets = new Map();
    },
    subset: (target) => subsetMembers(target).map((member) => member.upstream.id),
    choose,
    dispatched: (upstream) => {
      const member = members.get(upstream);
      if (!member) return createPace(clock).ticket(() => {});
      member.load.dispatched();
      return member.pace.ticket(() => member.load.ended());
    },
    load: (upstream, load) => {
      const member = members.get(upstream);
      if (!member) return;
      member.load.fresh(load);
      member.agentLeaves = load.leaving;
    },
    laggedLoad: (upstream, report) => members.get(upstream)?.load.lagged(report),
    silent: (upstream, silent) => members.get(upstream)?.health.setSilent(silent),
    leaving: (upstream) => {
      const member = members.get(upstream);
      if (member) member.agentLeaves = true;
    },
    review: () => {
      const moved = [...members.values()].map((member) => member.health.advance());
      const targets = new Set([...members.values()].map((member) => member.upstream.target));
      const ejected = [...targets].flatMap((target) =>
        ejectionsDue(subsetMembers(target)).map(({ member, reason }) => {
          member.pace.reset();
          return member.health.eject(reason);
        }),
      );
      return [...moved.filter((change) => change !== undefined), ...ejected];
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
        firstByteMs: member.pace.smoothedMs(),
      })),
  };
};
