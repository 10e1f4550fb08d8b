/** A group of engines that begins each pass together; its passes take as long as the users say. */

import type { OrderOutcome, Placement, RankOrder } from '@plantaindrum/rank-groups';
import { judgeRankOrder } from '@plantaindrum/stand-ins';
import type { EngineGroup, EngineGroupOptions, EngineRequest } from './engine-types.js';
import { passMs } from './pass-time.js';
import type { RankWork } from './pass-time.js';

interface Running {
  request: EngineRequest;
  /** Prompt tokens that are still to be read. */
  read: number;
  /** Events that have been made. */
  written: number;
}

interface Rank {
  running: Running[];
  waiting: Running[];
  counts: number[];
  pace: number;
  map: number;
  prepared: { version: number; placement: Placement; readyAt: number } | undefined;
  highest: number;
  armed: { version: number; step: number } | undefined;
  held: number | undefined;
  placement: Placement;
}

const EPOCH = 1;
/** An idle group looks for work this often, in ms. */
const IDLE_MS = 2;

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Map 0 of a group: experts in turn. */
export const inTurn = (sets: number, ranks: number, experts: number): Placement =>
  Array.from({ length: sets }, () =>
    Array.from({ length: ranks }, (_, rank) =>
      Array.from({ length: experts }, (__, expert) => expert).filter((e) => e % ranks === rank),
    ),
  );

/** Creates a group that is open and has map 0. */
export const createEngineGroup = (options: EngineGroupOptions): EngineGroup => {
  const { sets, experts, times, content, clock } = options;
  const size = sets * experts;
  const first = inTurn(sets, options.ranks, experts);
  const ranks = Array.from({ length: options.ranks }, (): Rank => ({
    ...{ running: [], waiting: [], counts: new Array<number>(size).fill(0), pace: 1, map: 0 },
    ...{ prepared: undefined, highest: 0, armed: undefined, held: undefined, placement: first },
  }));
  let step = 0;
  let stopTimer = (): void => {};
  const totals = { passes: 0, ms: 0, skew: 0, copies: 0, mixed: 0 };

  const admit = (rank: Rank): void => {
    const room = times.slots - rank.running.length;
    rank.running.push(...rank.waiting.splice(0, Math.max(0, room)));
  };

  /** Prompt tokens that a rank reads in this pass, and what its own work takes. */
  const workOf = (rank: Rank): RankWork & { read: number } => {
    const writers = rank.running.filter(({ read }) => read === 0);
    const steps = writers.length > 0 ? times.stride : 1;
    const readers = rank.running.filter(({ read }) => read > 0);
    const room = writers.length > 0 ? times.chunk * steps : times.chunk;
    const read = Math.min(room, sum(readers.map((entry) => entry.read)));
    const context = sum(writers.map(({ request }) => request.promptTokens)) / 1_000;
    const stepsMs = rank.running.length > 0 ? steps * times.stepMs : 0;
    const perStep = times.perSeqMs * writers.length + times.contextMsPerK * context;
    const tokensMs = steps * perStep + read / times.prefillTokensPerMs;
    return { read, stepsMs, tokensMs, pace: rank.pace };
  };

  const pickExperts = (rank: Rank, entry: Running, tokens: number): void => {
    const { counts } = rank;
    const shares = content.shares(entry.request.topic);
    const perSet = (tokens * times.picksPerToken) / sets;
    shares.forEach((set, at) =>
      set.forEach((share, expert) => {
        const index = at * experts + expert;
        counts[index] = (counts[index] ?? 0) + Math.round(perSet * share);
      }),
    );
  };

  /** Most loaded rank over the mean, averaged over the sets, for the tokens of this pass. */
  const skewOf = (tokensByTopic: ReadonlyMap<number, number>): number => {
    const placement = ranks[0]?.placement ?? first;
    const perSet = placement.map((held, set) => {
      const demand = new Array<number>(experts).fill(0);
      tokensByTopic.forEach((tokens, topic) =>
        (content.shares(topic)[set] ?? []).forEach((share, expert) => {
          demand[expert] = (demand[expert] ?? 0) + tokens * share;
        }),
      );
      const hosts = new Array<number>(experts).fill(0);
      held.flat().forEach((expert) => {
        hosts[expert] = (hosts[expert] ?? 0) + 1;
      });
      const loads = held.map((own, at) => {
        const parts = own.map((expert) => (demand[expert] ?? 0) / Math.max(1, hosts[expert] ?? 1));
        return sum(parts) * (ranks[at]?.pace ?? 1);
      });
      const mean = sum(demand) / loads.length;
      return mean > 0 ? Math.max(...loads) / mean : 1;
    });
    return sum(perSet) / perSet.length;
  };

  const switchMaps = (): void => {
    ranks.forEach((rank) => {
      if (rank.armed?.step !== step || !rank.prepared) return;
      const { version, placement } = rank.prepared;
      Object.assign(rank, { map: version, placement, armed: undefined, prepared: undefined });
    });
    if (new Set(ranks.map(({ map }) => map)).size > 1) totals.mixed += 1;
  };

  /** Carries a request on by one pass in which this many prompt tokens may be read for it. */
  const carryOn = (rank: Rank, entry: Running, readable: number): Running => {
    const taken = Math.min(readable, entry.read);
    const read = entry.read - taken;
    pickExperts(rank, entry, entry.read > 0 ? taken : times.stride);
    if (read > 0) return { ...entry, read };
    entry.request.onEvent(entry.written + 1);
    return { ...entry, read, written: entry.written + 1 };
  };

  const advance = (rank: Rank, read: number): void => {
    let left = read;
    const after = rank.running.map((entry) => {
      const next = carryOn(rank, entry, left);
      left -= entry.read - next.read;
      return next;
    });
    const isDone = ({ written, request }: Running): boolean => written >= request.events;
    Object.assign(rank, { running: after.filter((entry) => !isDone(entry)) });
    after.filter(isDone).forEach(({ request }) => request.onEnd());
  };

  const pass = (): void => {
    ranks.forEach(admit);
    const isIdle = ranks.every(({ running }) => running.length === 0);
    if (isIdle || ranks.some(({ held }) => held === step + 1)) {
      stopTimer = clock.after(IDLE_MS, pass);
      return;
    }
    step += 1;
    switchMaps();
    const works = ranks.map(workOf);
    const tokensByTopic = new Map<number, number>();
    ranks.forEach((rank) =>
      rank.running.forEach(({ request, read }) => {
        const tokens = read > 0 ? Math.min(read, times.chunk) : times.stride;
        tokensByTopic.set(request.topic, (tokensByTopic.get(request.topic) ?? 0) + tokens);
      }),
    );
    const skew = skewOf(tokensByTopic);
    const now = clock.monotonic();
    const isCopying = ranks.some(({ prepared }) => prepared && prepared.readyAt > now);
    const ms = passMs(works, times.expertShare, skew) * (isCopying ? times.copyFactor : 1);
    totals.passes += 1;
    totals.ms += ms;
    totals.skew += skew;
    stopTimer = clock.after(ms, () => {
      ranks.forEach((rank, at) => advance(rank, works[at]?.read ?? 0));
      pass();
    });
  };
  stopTimer = clock.after(IDLE_MS, pass);

  const isCopied = ({ prepared }: Rank): boolean =>
    prepared !== undefined && prepared.readyAt <= clock.monotonic();

  const beginCopying = (rank: Rank, at: number, version: number, placement: Placement): void => {
    const copies = sum(
      placement.map((held, set) => {
        const before = new Set(rank.placement[set]?.[at]);
        return (held[at] ?? []).filter((expert) => !before.has(expert)).length;
      }),
    );
    totals.copies += copies;
    const readyAt = clock.monotonic() + copies * options.copyMs;
    Object.assign(rank, { prepared: { version, placement, readyAt } });
  };

  const order = (at: number, given: RankOrder): OrderOutcome => {
    const rank = ranks[at];
    if (!rank) return 'refused';
    const prepared = rank.prepared?.version;
    const state = { ...rank, epoch: EPOCH, step, prepared, isCopied: isCopied(rank) };
    const { outcome, change } = judgeRankOrder(state, given);
    // What is prepared has a map and a time beside its version.
    Object.assign(rank, change, { prepared: rank.prepared });
    if (outcome === 'begun' && given.op === 'prepare') {
      beginCopying(rank, at, given.version, given.placement);
    }
    return outcome === 'refused' ? 'refused' : 'done';
  };

  return {
    submit: (at, request, written = 0) => {
      const read = request.promptTokens + written * times.stride;
      ranks[at]?.waiting.push({ request, read, written });
    },
    withdraw: (at) => {
      const rank = ranks[at];
      if (!rank) return [];
      const taken = [...rank.running, ...rank.waiting];
      Object.assign(rank, { running: [], waiting: [] });
      return taken.map(({ request, written }) => ({ request, written }));
    },
    load: (at) => (ranks[at]?.running.length ?? 0) + (ranks[at]?.waiting.length ?? 0),
    report: (at) => {
      const rank = ranks[at];
      return {
        ...{
          group: 'g',
          startedAt: 0,
          epoch: EPOCH,
          rank: at,
          size: ranks.length,
          isOpen: true,
          step,
        },
        map: rank?.map ?? 0,
        prepared: rank && isCopied(rank) ? rank.prepared?.version : undefined,
        armed: rank?.armed,
        held: rank?.held,
        pace: rank?.pace ?? 1,
      };
    },
    counts: (at) => ranks[at]?.counts ?? [],
    placement: () => ({ version: ranks[0]?.map ?? 0, placement: ranks[0]?.placement ?? first }),
    order,
    slow: (at, factor) => {
      const rank = ranks[at];
      if (rank) rank.pace = factor;
    },
    figures: () => ({
      passes: totals.passes,
      meanPassMs: totals.ms / Math.max(1, totals.passes),
      meanSkew: totals.skew / Math.max(1, totals.passes),
      copies: totals.copies,
      mixedPasses: totals.mixed,
    }),
    close: () => stopTimer(),
  };
};
