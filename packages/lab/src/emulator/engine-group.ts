/** Emulates a group of engines that start each pass together, with the pass times of the users' protocol. */

import type { OrderOutcome, Placement, RankOrder } from '@plantaindrum/rank-groups';
import { evaluateRankOrder } from '@plantaindrum/stand-ins';
import type { EngineGroup, EngineGroupOptions, EngineRequest } from './engine-types.js';
import { computePassMs } from './pass-time.js';
import type { RankWork } from './pass-time.js';

interface ActiveRequest {
  request: EngineRequest;
  /** Prompt tokens that are still to be prefilled. */
  read: number;
  /** Events that have been generated. */
  written: number;
}

interface Rank {
  running: ActiveRequest[];
  waiting: ActiveRequest[];
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
/** Interval in which an idle group checks for work. */
const IDLE_POLL_MS = 2;

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Returns map 0 of a group, which assigns experts to ranks round-robin. */
export const createRoundRobinPlacement = (
  sets: number,
  ranks: number,
  experts: number,
): Placement =>
  Array.from({ length: sets }, () =>
    Array.from({ length: ranks }, (_, rank) =>
      Array.from({ length: experts }, (__, expert) => expert).filter((e) => e % ranks === rank),
    ),
  );

/** Creates a group that is open and uses map 0. */
export const createEngineGroup = (options: EngineGroupOptions): EngineGroup => {
  const { sets, experts, times, content, clock } = options;
  const size = sets * experts;
  const initialPlacement = createRoundRobinPlacement(sets, options.ranks, experts);
  const ranks = Array.from({ length: options.ranks }, (): Rank => ({
    ...{ running: [], waiting: [], counts: new Array<number>(size).fill(0), pace: 1, map: 0 },
    ...{
      prepared: undefined,
      highest: 0,
      armed: undefined,
      held: undefined,
      placement: initialPlacement,
    },
  }));
  let step = 0;
  let stopTimer = (): void => {};
  const totals = { passes: 0, ms: 0, skew: 0, copies: 0, mixed: 0 };

  const admit = (rank: Rank): void => {
    const freeSlots = times.slots - rank.running.length;
    rank.running.push(...rank.waiting.splice(0, Math.max(0, freeSlots)));
  };

  /** Computes the prompt tokens that a rank prefills in this pass, and the times of its work. */
  const computeWork = (rank: Rank): RankWork & { read: number } => {
    const generating = rank.running.filter(({ read }) => read === 0);
    const steps = generating.length > 0 ? times.stride : 1;
    const prefilling = rank.running.filter(({ read }) => read > 0);
    const maxPrefillTokens = generating.length > 0 ? times.chunk * steps : times.chunk;
    const read = Math.min(maxPrefillTokens, sum(prefilling.map((entry) => entry.read)));
    const context = sum(generating.map(({ request }) => request.promptTokens)) / 1_000;
    const stepsMs = rank.running.length > 0 ? steps * times.stepMs : 0;
    const perStep = times.perSeqMs * generating.length + times.contextMsPerK * context;
    const tokensMs = steps * perStep + read / times.prefillTokensPerMs;
    return { read, stepsMs, tokensMs, pace: rank.pace };
  };

  const countSelections = (rank: Rank, entry: ActiveRequest, tokens: number): void => {
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

  /** Load of the most loaded rank relative to the mean, averaged over the sets, for this pass's tokens. */
  const computeSkew = (tokensByTopic: ReadonlyMap<number, number>): number => {
    const placement = ranks[0]?.placement ?? initialPlacement;
    const perSet = placement.map((held, set) => {
      const demand = new Array<number>(experts).fill(0);
      tokensByTopic.forEach((tokens, topic) =>
        (content.shares(topic)[set] ?? []).forEach((share, expert) => {
          demand[expert] = (demand[expert] ?? 0) + tokens * share;
        }),
      );
      const replicaCounts = new Array<number>(experts).fill(0);
      held.flat().forEach((expert) => {
        replicaCounts[expert] = (replicaCounts[expert] ?? 0) + 1;
      });
      const loads = held.map((own, at) => {
        const parts = own.map(
          (expert) => (demand[expert] ?? 0) / Math.max(1, replicaCounts[expert] ?? 1),
        );
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

  /** Advances a request by one pass in which up to `readable` of its prompt tokens may be prefilled. */
  const advanceRequest = (rank: Rank, entry: ActiveRequest, readable: number): ActiveRequest => {
    const taken = Math.min(readable, entry.read);
    const read = entry.read - taken;
    countSelections(rank, entry, entry.read > 0 ? taken : times.stride);
    if (read > 0) return { ...entry, read };
    entry.request.onEvent(entry.written + 1);
    return { ...entry, read, written: entry.written + 1 };
  };

  const advanceRank = (rank: Rank, read: number): void => {
    let remaining = read;
    const after = rank.running.map((entry) => {
      const next = advanceRequest(rank, entry, remaining);
      remaining -= entry.read - next.read;
      return next;
    });
    const isDone = ({ written, request }: ActiveRequest): boolean => written >= request.events;
    Object.assign(rank, { running: after.filter((entry) => !isDone(entry)) });
    after.filter(isDone).forEach(({ request }) => request.onEnd());
  };

  const runPass = (): void => {
    ranks.forEach(admit);
    const isIdle = ranks.every(({ running }) => running.length === 0);
    if (isIdle || ranks.some(({ held }) => held === step + 1)) {
      stopTimer = clock.after(IDLE_POLL_MS, runPass);
      return;
    }
    step += 1;
    switchMaps();
    const rankWorks = ranks.map(computeWork);
    const tokensByTopic = new Map<number, number>();
    ranks.forEach((rank) =>
      rank.running.forEach(({ request, read }) => {
        const tokens = read > 0 ? Math.min(read, times.chunk) : times.stride;
        tokensByTopic.set(request.topic, (tokensByTopic.get(request.topic) ?? 0) + tokens);
      }),
    );
    const skew = computeSkew(tokensByTopic);
    const now = clock.monotonic();
    const isCopying = ranks.some(({ prepared }) => prepared && prepared.readyAt > now);
    const ms =
      computePassMs(rankWorks, times.expertShare, skew) * (isCopying ? times.copyFactor : 1);
    totals.passes += 1;
    totals.ms += ms;
    totals.skew += skew;
    stopTimer = clock.after(ms, () => {
      ranks.forEach((rank, at) => advanceRank(rank, rankWorks[at]?.read ?? 0));
      runPass();
    });
  };
  stopTimer = clock.after(IDLE_POLL_MS, runPass);

  const isCopied = ({ prepared }: Rank): boolean =>
    prepared !== undefined && prepared.readyAt <= clock.monotonic();

  const startCopying = (rank: Rank, at: number, version: number, placement: Placement): void => {
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

  const order = (at: number, rankOrder: RankOrder): OrderOutcome => {
    const rank = ranks[at];
    if (!rank) return 'refused';
    const prepared = rank.prepared?.version;
    const state = { ...rank, epoch: EPOCH, step, prepared, isCopied: isCopied(rank) };
    const { outcome, change } = evaluateRankOrder(state, rankOrder);
    // `change` holds only the version of the prepared map; the rank also keeps its placement and time.
    Object.assign(rank, change, { prepared: rank.prepared });
    if (outcome === 'begun' && rankOrder.op === 'prepare') {
      startCopying(rank, at, rankOrder.version, rankOrder.placement);
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
    placement: () => ({
      version: ranks[0]?.map ?? 0,
      placement: ranks[0]?.placement ?? initialPlacement,
    }),
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
