import type { HealthChange } from '@plantaindrum/requests';
import type { ModelRequest } from './routing-upstream.js';

/** Figures of one run. */
export interface RunFigures {
  requests: number;
  /** Milliseconds to the first token of the answered requests. */
  firstTokenMs: { p50: number; p95: number; p99: number };
  /** Share of all requests of a class whose first token came within its target. */
  withinTarget: Record<string, number>;
  withinTargetAll: number;
  prefixHits: number;
  /** Smallest share of an organisation's requests that was served in time, over the mean. */
  fairness: number;
  /** Least cost served in time to an organisation over an equal share. */
  leastShare: number;
  refused: Record<string, number>;
  /** Dispatches beyond the first, for each request. */
  retriesPerRequest: number;
  ejections: number;
}

interface Tally {
  all: number;
  inTime: number;
  cost: number;
}

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

/** The value below which a share of the sorted values lies. */
export const percentile = (sorted: ArrayLike<number>, share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

const shareOf = ({ all, inTime }: Tally): number => (all === 0 ? 0 : inTime / all);

/** Collects the figures of one run. */
export const createFigures = () => {
  const byClass = new Map<string, Tally>();
  const byOrganisation = new Map<string, Tally>();
  const refused: Record<string, number> = {};
  const firstTokens: number[] = [];
  let requests = 0;
  let dispatches = 0;
  let hits = 0;
  let ejections = 0;

  const tallyOf = (map: Map<string, Tally>, name: string): Tally => {
    const tally = map.get(name) ?? { all: 0, inTime: 0, cost: 0 };
    map.set(name, tally);
    return tally;
  };

  const result = (): RunFigures => {
    const sorted = Float64Array.from(firstTokens).sort();
    const organisations = [...byOrganisation.values()].map(shareOf);
    const mean = organisations.reduce((sum, share) => sum + share, 0) / organisations.length;
    const costs = [...byOrganisation.values()].map(({ cost }) => cost);
    const equalShare = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
    const inTime = [...byClass.values()].reduce((sum, tally) => sum + tally.inTime, 0);
    return {
      requests,
      firstTokenMs: {
        p50: Math.round(percentile(sorted, 0.5)),
        p95: Math.round(percentile(sorted, 0.95)),
        p99: Math.round(percentile(sorted, 0.99)),
      },
      withinTarget: Object.fromEntries(
        [...byClass].sort().map(([name, tally]) => [name, round(shareOf(tally))]),
      ),
      withinTargetAll: round(inTime / requests),
      prefixHits: round(hits / firstTokens.length),
      fairness: round(Math.min(...organisations) / mean),
      leastShare: round(Math.min(...costs) / equalShare),
      refused,
      retriesPerRequest: round(dispatches / requests - 1),
      ejections,
    };
  };

  return {
    arrived: (request: ModelRequest) => {
      requests += 1;
      tallyOf(byClass, request.class).all += 1;
      tallyOf(byOrganisation, request.organisation).all += 1;
    },
    dispatched: () => {
      dispatches += 1;
    },
    firstToken: (request: ModelRequest, ms: number, hit: boolean) => {
      firstTokens.push(ms);
      if (hit) hits += 1;
      if (ms > request.targetMs) return;
      tallyOf(byClass, request.class).inTime += 1;
      const tally = tallyOf(byOrganisation, request.organisation);
      tally.inTime += 1;
      tally.cost += request.cost;
    },
    refused: (_: ModelRequest, reason: string) => {
      refused[reason] = (refused[reason] ?? 0) + 1;
    },
    healthChange: (change: HealthChange) => {
      if (change.to === 'ejected') ejections += 1;
    },
    result,
  };
};
