import type { Random } from '@plantaindrum/common';
import { createPlacementState, evenLayers, movesBetween } from '@plantaindrum/experts';
import type { ExpertPlacement, GroupLayout, ReportAnswer } from '@plantaindrum/experts';
import type { BalancePolicy, IntervalReports } from './balance-policies.js';
import type { Trace } from './balance-traces.js';
import { normal } from './balance-traces.js';

/** Share of a rank's step that does not depend on its tokens, as in the engine stand-in. */
const FIXED_SHARE = 0.4;
const STEP_US = 5_000;
const TOKENS_PER_SECOND = 50_000;
/** Looks at a step in each interval. */
const SAMPLES = 6;
/** Intervals at the start that are not counted: every policy starts from an even map. */
const WARM_UP = 3;
/** One group's share of the weight store. */
const STORE_BYTES_PER_SECOND = 2_000_000_000;

/** Length of a run and of its intervals. */
export interface SimulationTimes {
  lengthMs: number;
  planMs: number;
}

/** What one policy made of one trace. */
export interface SimulationResult {
  /** Slowest less fastest rank over an even step, percent. */
  skewP50: number;
  skewP99: number;
  /** Step time over that of a group whose ranks all end together. */
  stepMean: number;
  stepP50: number;
  stepP99: number;
  changes: number;
  experts: number;
  gigabytes: number;
  /** Time that the weight store spent on this group. */
  loadSeconds: number;
  planMsP50: number;
  planMsMax: number;
}

/** The value at a share of the sorted values. */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
};

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

/** Runs one policy over one trace; nothing but `random` and the planning time varies. */
export const simulate = async (
  layout: GroupLayout,
  trace: Trace,
  policy: BalancePolicy,
  { lengthMs, planMs }: SimulationTimes,
  random: Random,
): Promise<SimulationResult> => {
  const nodes = Array.from({ length: layout.rankCount }, (_, rank) => `vm-${rank}`);
  const counts = nodes.map(() => new Map<number, number>());
  const skews: number[] = [];
  const steps: number[] = [];
  const planTimes: number[] = [];
  let layers = evenLayers(layout);
  let loading: { layers: ExpertPlacement[][]; readyAt: number } | undefined;
  let changes = 0;
  let experts = 0;

  const timesAt = (atMs: number): Float64Array => {
    const view = { popularity: trace.popularity(atMs), speeds: trace.speeds(atMs) };
    return createPlacementState(layers, layout, { ...view, fixedShare: FIXED_SHARE }).times;
  };

  const sample = (atMs: number): void => {
    const times = timesAt(atMs);
    const speeds = trace.speeds(atMs);
    const even = speeds.length / speeds.reduce((a, b) => a + b, 0);
    skews.push((100 * (Math.max(...times) - Math.min(...times))) / even);
    steps.push(Math.max(...times) / even);
  };

  const serve = (atMs: number, ms: number): void => {
    const shares = trace.popularity(atMs);
    layers.forEach((placements, layer) =>
      placements.forEach(({ expert, ranks }) => {
        const tokens = ((shares[layer]?.[expert] ?? 0) * TOKENS_PER_SECOND * ms) / 1000;
        ranks.forEach((rank) => {
          const at = layer * layout.experts + expert;
          const noisy = Math.max(0, 1 + trace.reportNoise * normal(random));
          const count = counts[rank];
          count?.set(at, (count.get(at) ?? 0) + (tokens / ranks.length) * noisy);
        });
      }),
    );
  };

  const reportsAt = (atMs: number): IntervalReports => {
    const times = timesAt(atMs);
    const tokens = new Map<string, ReportAnswer | undefined>();
    const timesUs: (number | undefined)[] = [];
    nodes.forEach((node, rank) => {
      const isLost = random() < trace.lostReports;
      const count = counts[rank] ?? new Map<number, number>();
      const answer: ReportAnswer = {
        outcome: 'ok',
        at: [...count.keys()],
        tokens: [...count.values()],
      };
      const noisy = Math.max(0.1, 1 + trace.reportNoise * normal(random));
      tokens.set(node, isLost ? undefined : answer);
      timesUs.push(isLost ? undefined : (times[rank] ?? 0) * STEP_US * noisy);
    });
    return { atMs, tokens, timesUs };
  };

  const finishLoading = (atMs: number): void => {
    if (!loading || loading.readyAt > atMs) return;
    layers = loading.layers;
    loading = undefined;
    policy.changed();
  };

  const plan = async (atMs: number): Promise<void> => {
    const reports = reportsAt(atMs);
    if (loading) return;
    const startedAt = performance.now();
    const next = await policy.plan(layers, reports);
    planTimes.push(performance.now() - startedAt);
    if (!next) return;
    const moves = movesBetween(layers, next).length;
    changes += 1;
    experts += moves;
    const loadMs = (1000 * moves * layout.bytesPerExpert) / STORE_BYTES_PER_SECOND;
    loading = { layers: next, readyAt: atMs + loadMs };
  };

  for (let atMs = 0; atMs < lengthMs; atMs += planMs) {
    for (let i = 0; i < SAMPLES; i += 1) {
      const sampledAt = atMs + (i * planMs) / SAMPLES;
      finishLoading(sampledAt);
      if (atMs >= WARM_UP * planMs) sample(sampledAt);
      serve(sampledAt, planMs / SAMPLES);
    }
    await plan(atMs + planMs);
  }

  const bytes = experts * layout.bytesPerExpert;
  return {
    skewP50: round(quantile(skews, 0.5), 1),
    skewP99: round(quantile(skews, 0.99), 1),
    stepMean: round(steps.reduce((a, b) => a + b, 0) / Math.max(1, steps.length)),
    stepP50: round(quantile(steps, 0.5)),
    stepP99: round(quantile(steps, 0.99)),
    changes,
    experts,
    gigabytes: round(bytes / 1e9, 1),
    loadSeconds: round(bytes / STORE_BYTES_PER_SECOND, 1),
    planMsP50: round(quantile(planTimes, 0.5), 1),
    planMsMax: round(Math.max(0, ...planTimes), 1),
  };
};
