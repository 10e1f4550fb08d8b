/** One seeded day of a group: callers, admission, engines and the product's coordinator. */

import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createUpstream, withoutSlow } from '@plantaindrum/gateway';
import { normal } from '../experiments/balance-traces.js';
import { median, percentile } from '../harness/statistics.js';
import { createContent } from './content.js';
import type { DayFigures, DaySpec, StreamRequest } from './day-types.js';
import { startCoordinator } from './coordinate.js';
import { createEngineGroup } from './engine-group.js';
import type { EngineGroup, EngineRequest } from './engine-types.js';
import { TARGET_FIRST_MS, TARGET_PAUSE_MS } from './targets.js';

const LATE_WORTH = 0.5;
/** A refused caller comes back once, after about this long, in ms. */
const RETURN_MS = 300;
/** From a change of pace until the entries know of it, and how often it is told again, in ms. */
const PACE_TOLD_MS = 130;
const PACE_AGAIN_MS = 500;
/** Time that a day goes on after its last arrival, in ms. */
const TAIL_MS = 3_000;
const STEP_MS = 20;

/** Log-normal around a mean of 1. */
const drawSpread = (random: Random): number => {
  const sigma = 0.8;
  return Math.exp(sigma * normal(random) - (sigma * sigma) / 2);
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
  /** Rank that each stream is at. */
  const at = new Map<EngineRequest, number>();
  const counts = { streams: 0, onTime: 0, late: 0, lateFirst: 0, refused: 0 };

  const place = (request: EngineRequest, written = 0): void => {
    const used = new Set(spec.keepsSlowRanks ? upstreams : withoutSlow(upstreams));
    const costs = upstreams.map((each) => (used.has(each) ? each.costOfNext() : Infinity));
    const rank = costs.indexOf(Math.min(...costs));
    upstreams[rank]?.begin();
    at.set(request, rank);
    group.submit(rank, request, written);
  };
  const leave = (rank: number): void => {
    group.withdraw(rank).forEach(({ request, written }) => {
      upstreams[rank]?.end();
      place(request, written);
    });
  };

  const serve = (request: StreamRequest, arrivedAt: number): void => {
    let lastAt = arrivedAt;
    let isLate = false;
    const asked: EngineRequest = {
      topic: content.drawTopic(),
      promptTokens: request.promptTokens,
      events: request.events,
      onEvent: (n) => {
        const gap = clock.monotonic() - lastAt;
        lastAt = clock.monotonic();
        if (n > 1) policy.notePause(gap);
        if (gap <= (n === 1 ? TARGET_FIRST_MS : TARGET_PAUSE_MS)) return;
        if (n === 1) counts.lateFirst += 1;
        isLate = true;
      },
      onEnd: () => {
        upstreams[at.get(asked) ?? -1]?.end();
        at.delete(asked);
        policy.noteEnd(request);
        if (isLate) counts.late += 1;
        else counts.onTime += 1;
      },
    };
    place(asked);
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
  const tellPace = (rank: number, factor: number): void => {
    group.slow(rank, factor);
    clock.after(PACE_TOLD_MS, () => {
      upstreams[rank]?.notePace(factor);
      if (factor > 1 && !spec.keepsSlowRanks) leave(rank);
    });
  };
  spec.stragglers?.forEach(({ atMs, rank, factor, forMs }) => {
    // Told again while it lasts, as agents do: a pace is not believed for ever.
    for (let told = 0; told < forMs; told += PACE_AGAIN_MS) {
      clock.after(atMs + told, () => tellPace(rank, factor));
    }
    clock.after(atMs + forMs, () => tellPace(rank, 1));
  });

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
