import { createSeededRandom } from '@plantaindrum/common';
import type { Rejected } from '@plantaindrum/requests';
import type { ModelQueue, QueueContext } from './overload-queues.js';
import { createVirtualClock } from './routing-clock.js';
import { percentile } from './routing-figures.js';
import type { TrafficOptions } from './routing-traffic.js';
import { createRequestSource } from './routing-traffic.js';
import type { ModelRequest } from './routing-upstream.js';
import { createModelUpstream } from './routing-upstream.js';

/** One run of the overload model: one upstream, many organisations. */
export interface OverloadScenario {
  seed: number;
  seconds: number;
  perSecond: number;
  traffic: TrafficOptions;
  /** Organisations whose demand is above an equal share; fairness is measured over them. */
  organisations: number;
  createQueue(context: QueueContext): ModelQueue;
}

/** Figures of one run. */
export interface OverloadFigures {
  requests: number;
  /** Requests served a second, in time or late. */
  servedPerSecond: number;
  /** Share of what was served that came within its target. */
  servedInTime: number;
  /** Cost served in time a second. */
  goodput: number;
  withinTarget: Record<string, number>;
  /** The same for all organisations but the first, which is the one that floods. */
  withinTargetOthers: Record<string, number>;
  /** Least cost served in time to one organisation over an equal share. */
  fairness: number;
  refused: Record<string, number>;
  /** Time from a request to its refusal, in milliseconds. */
  refusedAfterMs: { p50: number; p95: number };
  firstTokenMs: { p50: number; p95: number };
}

const CONCURRENCY = 8;
const QUEUE_CAPACITY = 256;
const CACHED_PREFIXES = 24;

const round = (value: number): number => Number(value.toFixed(3));

const add = (map: Map<string, number>, key: string, by = 1) => {
  map.set(key, (map.get(key) ?? 0) + by);
};

const FIRST_ORGANISATION = 'org0';

const sharesOf = (parts: Map<string, number>, wholes: Map<string, number>) =>
  Object.fromEntries(
    [...wholes].sort().map(([name, whole]) => [name, round((parts.get(name) ?? 0) / whole)]),
  );

/** Runs the model once and gives its figures. */
export const runOverloadScenario = (scenario: OverloadScenario): OverloadFigures => {
  const clock = createVirtualClock();
  const source = createRequestSource(createSeededRandom(scenario.seed), scenario.traffic);
  const refused: Record<string, number> = {};
  const refusedAfter: number[] = [];
  const firstTokens: number[] = [];
  const offered = new Map<string, number>();
  const inTime = new Map<string, number>();
  const offeredByOthers = new Map<string, number>();
  const inTimeOfOthers = new Map<string, number>();
  const costOf = new Map<string, number>();
  let ended = 0;

  const refuse = ({ item, reason }: Rejected<ModelRequest>) => {
    refused[reason] = (refused[reason] ?? 0) + 1;
    refusedAfter.push(clock.monotonic() - item.sentAt);
  };

  const firstToken = (request: ModelRequest) => {
    const ms = clock.monotonic() - request.sentAt;
    firstTokens.push(ms);
    if (ms > request.targetMs) return;
    add(inTime, request.class);
    if (request.organisation !== FIRST_ORGANISATION) add(inTimeOfOthers, request.class);
    add(costOf, request.organisation, request.cost);
  };

  const upstream = createModelUpstream<ModelRequest>({
    clock,
    queue: scenario.createQueue({
      clock,
      random: createSeededRandom(scenario.seed + 1),
      capacity: QUEUE_CAPACITY,
      concurrency: CONCURRENCY,
    }),
    concurrency: CONCURRENCY,
    cachedPrefixes: CACHED_PREFIXES,
    events: {
      started: () => {},
      firstToken,
      ended: () => {
        ended += 1;
      },
      rejected: refuse,
    },
  });

  const arrive = () => {
    const request = source.next(clock.monotonic());
    add(offered, request.class);
    if (request.organisation !== FIRST_ORGANISATION) add(offeredByOthers, request.class);
    upstream.offer(request);
    clock.after(source.gapMs(scenario.perSecond), arrive);
  };
  clock.after(0, arrive);
  clock.run(scenario.seconds * 1_000);

  const total = [...costOf.values()].reduce((sum, cost) => sum + cost, 0);
  const shares = Array.from(
    { length: scenario.organisations },
    (_, n) => costOf.get(`org${n}`) ?? 0,
  );
  const sorted = Float64Array.from(firstTokens).sort();
  const sortedRefused = Float64Array.from(refusedAfter).sort();
  const served = [...inTime.values()].reduce((sum, count) => sum + count, 0);
  return {
    requests: [...offered.values()].reduce((sum, count) => sum + count, 0),
    servedPerSecond: round(ended / scenario.seconds),
    servedInTime: round(served / firstTokens.length),
    goodput: round(total / scenario.seconds),
    withinTarget: sharesOf(inTime, offered),
    withinTargetOthers: sharesOf(inTimeOfOthers, offeredByOthers),
    fairness: round(Math.min(...shares) / (total / scenario.organisations)),
    refused,
    refusedAfterMs: {
      p50: Math.round(percentile(sortedRefused, 0.5)),
      p95: Math.round(percentile(sortedRefused, 0.95)),
    },
    firstTokenMs: {
      p50: Math.round(percentile(sorted, 0.5)),
      p95: Math.round(percentile(sorted, 0.95)),
    },
  };
};
