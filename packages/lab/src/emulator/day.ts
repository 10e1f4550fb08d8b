/** Emulates a seeded day of a group: callers, admission, engines and the real coordinator. */

import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createUpstream, withoutStragglers } from '@plantaindrum/gateway';
import { normal } from '../experiments/balance-traces.js';
import { median, percentile } from '../harness/statistics.js';
import { createContent } from './content.js';
import type { DayFigures, DaySpec, StreamRequest } from './day-types.js';
import { startCoordinator } from './coordinator.js';
import { createEngineGroup } from './engine-group.js';
import type { EngineGroup, EngineRequest } from './engine-types.js';
import { TARGET_FIRST_MS, TARGET_PAUSE_MS } from './targets.js';

/** Worth of a late stream; one on time is worth 1. */
const LATE_STREAM_WORTH = 0.5;
/** Mean time after which a refused caller returns, once. */
const RETURN_DELAY_MS = 300;
/** Delay until the entries know of a slowdown, and interval in which it is reported again. */
const SLOWDOWN_REPORT_DELAY_MS = 130;
const SLOWDOWN_REPORT_INTERVAL_MS = 500;
/** Time that a day continues after its last arrival. */
const DRAIN_MS = 3_000;
const CLOCK_STEP_MS = 20;

/** Draws from a log-normal distribution with a mean of 1. */
const drawLogNormal = (random: Random): number => {
  const sigma = 0.8;
  return Math.exp(sigma * normal(random) - (sigma * sigma) / 2);
};

/** Measures the time from a shift of popularity until the group changes its map. */
const createShiftTimer = (group: EngineGroup, clock: ManualClock) => {
  const times: number[] = [];
  let shiftedAt: number | undefined;
  let mapAtShift = 0;
  return {
    recordShift: () => {
      shiftedAt = clock.monotonic();
      mapAtShift = group.report(0).map;
    },
    checkMap: () => {
      if (shiftedAt === undefined || group.report(0).map === mapAtShift) return;
      times.push(clock.monotonic() - shiftedAt);
      shiftedAt = undefined;
    },
    times,
  };
};

/** Emulates a day; the same specification gives the same figures. */
export const emulateDay = async (spec: DaySpec): Promise<DayFigures> => {
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
  const shiftTimer = createShiftTimer(group, clock);
  /** Rank that serves each stream. */
  const ranksByRequest = new Map<EngineRequest, number>();
  const counts = { streams: 0, onTime: 0, late: 0, lateFirst: 0, refused: 0 };

  const assignRank = (request: EngineRequest, written = 0): void => {
    const candidates = new Set(spec.keepsSlowRanks ? upstreams : withoutStragglers(upstreams));
    const loadScores = upstreams.map((upstream) =>
      candidates.has(upstream) ? upstream.loadScoreOfNext() : Infinity,
    );
    const rank = loadScores.indexOf(Math.min(...loadScores));
    upstreams[rank]?.begin();
    ranksByRequest.set(request, rank);
    group.submit(rank, request, written);
  };
  const moveStreams = (rank: number): void => {
    group.withdraw(rank).forEach(({ request, written }) => {
      upstreams[rank]?.end();
      assignRank(request, written);
    });
  };

  const serve = (request: StreamRequest, arrivedAt: number): void => {
    let lastAt = arrivedAt;
    let isLate = false;
    const engineRequest: EngineRequest = {
      topic: content.drawTopic(),
      promptTokens: request.promptTokens,
      events: request.events,
      onEvent: (n) => {
        const gap = clock.monotonic() - lastAt;
        lastAt = clock.monotonic();
        if (n > 1) policy.recordPause(gap);
        if (gap <= (n === 1 ? TARGET_FIRST_MS : TARGET_PAUSE_MS)) return;
        if (n === 1) counts.lateFirst += 1;
        isLate = true;
      },
      onEnd: () => {
        upstreams[ranksByRequest.get(engineRequest) ?? -1]?.end();
        ranksByRequest.delete(engineRequest);
        policy.recordEnd(request);
        if (isLate) counts.late += 1;
        else counts.onTime += 1;
      },
    };
    assignRank(engineRequest);
  };

  const arrive = (request: StreamRequest, arrivedAt: number): void => {
    if (policy.admit(request, upstreams)) serve(request, arrivedAt);
    else if (request.isReturn) counts.refused += 1;
    else {
      const backIn = RETURN_DELAY_MS * (0.5 + random());
      clock.after(backIn, () => arrive({ ...request, isReturn: true }, arrivedAt));
    }
  };

  const drawRequest = (): StreamRequest => ({
    promptTokens: Math.max(1, Math.round(spec.promptTokens * drawLogNormal(random))),
    events: Math.max(1, Math.round(spec.events * drawLogNormal(random))),
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
      arrive(drawRequest(), clock.monotonic());
      nextArrival();
    });
  };
  nextArrival();

  const shift = (): void => {
    content.shift(spec.shiftShare);
    shiftTimer.recordShift();
    clock.after(spec.shiftEveryMs, shift);
  };
  clock.after(spec.shiftEveryMs, shift);
  const applySlowdown = (rank: number, factor: number): void => {
    group.slow(rank, factor);
    clock.after(SLOWDOWN_REPORT_DELAY_MS, () => {
      upstreams[rank]?.recordSlowdown(factor);
      if (factor > 1 && !spec.keepsSlowRanks) moveStreams(rank);
    });
  };
  spec.stragglers?.forEach(({ atMs, rank, factor, forMs }) => {
    // Reported repeatedly, as agents do, because a reported slowdown expires.
    for (let offsetMs = 0; offsetMs < forMs; offsetMs += SLOWDOWN_REPORT_INTERVAL_MS) {
      clock.after(atMs + offsetMs, () => applySlowdown(rank, factor));
    }
    clock.after(atMs + forMs, () => applySlowdown(rank, 1));
  });

  while (clock.monotonic() < spec.lengthMs + DRAIN_MS) {
    await clock.advance(CLOCK_STEP_MS);
    shiftTimer.checkMap();
  }
  coordinator?.close();
  group.close();
  const earnedWorth = counts.onTime + LATE_STREAM_WORTH * counts.late;
  return {
    ...counts,
    worth: earnedWorth / Math.max(1, counts.streams),
    shiftToMapMedianMs: Math.round(median(shiftTimer.times)),
    shiftToMapP95Ms: Math.round(percentile(shiftTimer.times, 0.95)),
    ...group.figures(),
  };
};
