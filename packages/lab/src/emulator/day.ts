/** One seeded day of a group: callers, admission, engines and the product's coordinator. */

import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
  sleep,
} from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createUpstream } from '@plantaindrum/gateway';
import type { PassTimes, Upstream } from '@plantaindrum/gateway';
import { createCoordinator } from '@plantaindrum/rank-groups';
import type { GroupPort, OrderOutcome, RankOrder, Weighs } from '@plantaindrum/rank-groups';
import { normal } from '../experiments/balance-traces.js';
import { median, percentile } from '../harness/statistics.js';
import { createContent } from './content.js';
import type { ContentShape } from './content.js';
import { createEngineGroup } from './engine-group.js';
import type { EngineGroup, EngineTimes, GroupFigures } from './engine-group.js';

/** A stream as its caller sees it. */
export interface StreamRequest {
  promptTokens: number;
  events: number;
  isReturn: boolean;
}

/** Whether a stream is taken now. */
export type AdmitStream = (request: StreamRequest, upstreams: readonly Upstream[]) => boolean;

/** What an admission policy may use. */
export interface AdmissionTools {
  clock: ManualClock;
  slots: number;
  /** What the engines state of their passes. */
  passTimes: PassTimes;
}

/** An admission policy; told of each pause between two events and of each stream's end. */
export interface AdmissionPolicy {
  admit: AdmitStream;
  notePause(ms: number): void;
  noteEnd(request: StreamRequest): void;
}

/** One day. */
export interface DaySpec {
  seed: number;
  lengthMs: number;
  ranks: number;
  places: number;
  spare: number;
  copyMs: number;
  content: ContentShape;
  times: EngineTimes;
  /** Streams that begin each second, and what they ask for on average. */
  perSecond: number;
  promptTokens: number;
  events: number;
  /** Other experts come into demand this often, for this share of the picks. */
  shiftEveryMs: number;
  shiftShare: number;
  /** Undefined: the map is left as it is. */
  weighs: Weighs | undefined;
  policy: (tools: AdmissionTools) => AdmissionPolicy;
  /** Part of the orders that are answered by nobody and carried out late. */
  lateOrders?: number;
  /** A rank that is slow from this time on. */
  straggler?: { atMs: number; rank: number; factor: number; forMs: number };
  /** Times the usual traffic between two moments. */
  burst?: { fromMs: number; toMs: number; factor: number };
}

/** What a day came to. */
export interface DayFigures extends GroupFigures {
  streams: number;
  onTime: number;
  late: number;
  /** Of the late ones, those whose first event was late. */
  lateFirst: number;
  refused: number;
  /** Part of the worth of all streams that was earned; a late one earns half. */
  worth: number;
  /** From a shift to the pass that uses the next map, in ms. */
  shiftToMapMedianMs: number;
  shiftToMapP95Ms: number;
}

/** Latest first event and longest pause that are on time, in ms (the users' sheet). */
const FIRST_MS = 401;
const PAUSE_MS = 120;
const LATE_WORTH = 0.5;
/** A refused caller comes back once, after about this long, in ms. */
const RETURN_MS = 300;
/** An order and its answer on the links, in ms. */
const ORDER_MS = 4;
const LATE_MS = 3_000;
const UPDATE_MS = 80;
/** Time that a day goes on after its last arrival, in ms. */
const TAIL_MS = 3_000;
const STEP_MS = 20;

/** Log-normal around a mean of 1. */
const drawSpread = (random: Random): number => {
  const sigma = 0.8;
  return Math.exp(sigma * normal(random) - (sigma * sigma) / 2);
};

const startCoordinator = (
  spec: DaySpec,
  group: EngineGroup,
  clock: ManualClock,
  random: Random,
) => {
  const order = async (rank: number, given: RankOrder): Promise<OrderOutcome> => {
    if (random() < (spec.lateOrders ?? 0)) {
      clock.after(random() * LATE_MS, () => group.order(rank, given));
      await sleep(clock, ORDER_MS);
      return 'no-answer';
    }
    await sleep(clock, ORDER_MS / 2);
    const outcome = group.order(rank, given);
    await sleep(clock, ORDER_MS / 2);
    return outcome;
  };
  const port: GroupPort = {
    size: () => spec.ranks,
    epoch: () => group.report(0).epoch,
    report: async (rank) => {
      await sleep(clock, ORDER_MS / 2);
      return group.report(rank);
    },
    order,
  };
  const { sets, experts } = spec.content;
  const coordinator = createCoordinator({
    port,
    ownRank: 0,
    shape: { sets, experts, places: spec.places, spare: spec.spare, copyMs: spec.copyMs },
    weighs: spec.weighs ?? 'skew',
    isLowest: () => true,
    placementOf: async (rank) => {
      const { version, placement } = group.placement();
      return { epoch: 1, version, experts: placement.map((held) => held[rank] ?? []) };
    },
    orderOwnFromAfar: (given) => order(0, given),
    clock,
    random,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  const before = Array.from({ length: spec.ranks }, (_, rank) => [...group.counts(rank)]);
  const update = (rank: number): void => {
    const counts = [...group.counts(rank)];
    const picks = counts.map((n, at) => n - (before[rank]?.[at] ?? 0));
    before[rank] = counts;
    coordinator.onUpdate({ report: group.report(rank), picks });
    clock.after(UPDATE_MS, () => update(rank));
  };
  for (let rank = 0; rank < spec.ranks; rank += 1) clock.after(rank, () => update(rank));
  return coordinator;
};

/** Watches how long the group takes to change its map after a shift. */
const createShiftWatch = (group: EngineGroup, clock: ManualClock) => {
  const times: number[] = [];
  let shiftedAt: number | undefined;
  let mapAtShift = 0;
  return {
    noteShift: () => {
      shiftedAt = clock.monotonic();
      mapAtShift = group.report(0).map;
    },
    look: () => {
      if (shiftedAt === undefined || group.report(0).map === mapAtShift) return;
      times.push(clock.monotonic() - shiftedAt);
      shiftedAt = undefined;
    },
    times,
  };
};

/** Plays a day; the same specification gives the same figures. */
export const playDay = async (spec: DaySpec): Promise<DayFigures> => {
  const clock = createManualClock();
  const random = createSeededRandom(spec.seed);
  const { sets, experts } = spec.content;
  const content = createContent(spec.content, createSeededRandom(spec.seed + 1));
  const { ranks, copyMs, times } = spec;
  const group = createEngineGroup({
    ...{ ranks, sets, experts, copyMs, times, content, clock, random },
  });
  const coordinator = spec.weighs
    ? startCoordinator(spec, group, clock, createSeededRandom(spec.seed + 2))
    : undefined;
  const upstreams = Array.from({ length: ranks }, (_, rank) => {
    const record = { instance: `r${rank}`, service: 's', host: '', port: 1, dataCentre: 'd' };
    const state = { state: 'ready', warmupLeftMs: 0, sequence: 1, startedAt: 0 } as const;
    return createUpstream({ ...record, ...state, slots: times.slots }, clock);
  });
  const passTimes = { stepMs: times.stepMs, perStreamMs: times.perSeqMs };
  const policy = spec.policy({ clock, slots: times.slots * ranks, passTimes });
  const watch = createShiftWatch(group, clock);
  const counts = { streams: 0, onTime: 0, late: 0, lateFirst: 0, refused: 0 };

  const serve = (request: StreamRequest, arrivedAt: number): void => {
    const costs = upstreams.map((upstream) => upstream.costOfNext());
    const rank = costs.indexOf(Math.min(...costs));
    const upstream = upstreams[rank];
    let lastAt = arrivedAt;
    let isLate = false;
    upstream?.begin();
    group.submit(rank, {
      topic: content.drawTopic(),
      promptTokens: request.promptTokens,
      events: request.events,
      onEvent: (n) => {
        const gap = clock.monotonic() - lastAt;
        lastAt = clock.monotonic();
        if (n > 1) policy.notePause(gap);
        if (gap <= (n === 1 ? FIRST_MS : PAUSE_MS)) return;
        if (n === 1) counts.lateFirst += 1;
        isLate = true;
      },
      onEnd: () => {
        upstream?.end();
        policy.noteEnd(request);
        if (isLate) counts.late += 1;
        else counts.onTime += 1;
      },
    });
  };

  const arrive = (request: StreamRequest, arrivedAt: number): void => {
    if (policy.admit(request, upstreams)) serve(request, arrivedAt);
    else if (request.isReturn) counts.refused += 1;
    else {
      const backIn = RETURN_MS * (0.5 + random());
      clock.after(backIn, () => arrive({ ...request, isReturn: true }, arrivedAt));
    }
  };

  const draw = (): StreamRequest => ({
    promptTokens: Math.max(1, Math.round(spec.promptTokens * drawSpread(random))),
    events: Math.max(1, Math.round(spec.events * drawSpread(random))),
    isReturn: false,
  });
  const nextArrival = (): void => {
    const now = clock.monotonic();
    if (now > spec.lengthMs) return;
    const { burst } = spec;
    const isBurst = burst && now >= burst.fromMs && now < burst.toMs;
    const rate = spec.perSecond * (isBurst ? burst.factor : 1);
    const gapMs = (-Math.log(1 - random()) * 1_000) / rate;
    clock.after(gapMs, () => {
      counts.streams += 1;
      arrive(draw(), clock.monotonic());
      nextArrival();
    });
  };
  nextArrival();

  const shift = (): void => {
    content.shift(spec.shiftShare);
    watch.noteShift();
    clock.after(spec.shiftEveryMs, shift);
  };
  clock.after(spec.shiftEveryMs, shift);
  const { straggler } = spec;
  if (straggler) {
    clock.after(straggler.atMs, () => group.slow(straggler.rank, straggler.factor));
    clock.after(straggler.atMs + straggler.forMs, () => group.slow(straggler.rank, 1));
  }

  while (clock.monotonic() < spec.lengthMs + TAIL_MS) {
    await clock.advance(STEP_MS);
    watch.look();
  }
  coordinator?.close();
  group.close();
  const earned = counts.onTime + LATE_WORTH * counts.late;
  return {
    ...counts,
    worth: earned / Math.max(1, counts.streams),
    shiftToMapMedianMs: Math.round(median(watch.times)),
    shiftToMapP95Ms: Math.round(percentile(watch.times, 0.95)),
    ...group.figures(),
  };
};
