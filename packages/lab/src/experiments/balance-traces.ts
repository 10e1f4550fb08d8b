import type { Random } from '@plantaindrum/common';

/** How popularity and ranks behave over a run. */
export type TraceName =
  'slow-drift' | 'sudden-shift' | 'release-cycle' | 'one-straggler' | 'noisy-reports';

/** Every trace, in the order of the report. */
export const traceNames: readonly TraceName[] = [
  'slow-drift',
  'sudden-shift',
  'release-cycle',
  'one-straggler',
  'noisy-reports',
];

/** What happens in a run, the same for every policy that is given the same seed. */
export interface Trace {
  /** True shares by layer and expert at a time. */
  popularity(atMs: number): number[][];
  /** True speeds of the ranks at a time. */
  speeds(atMs: number): number[];
  /** Share of reports that are lost. */
  lostReports: number;
  /** Standard deviation of a reported figure, relative to its value. */
  reportNoise: number;
}

/** Size and length of a run. */
export interface TraceShape {
  rankCount: number;
  layers: number;
  experts: number;
  lengthMs: number;
}

const MINUTE_MS = 60_000;
/** Spread of an expert's popularity, as the deviation of its logarithm. */
const SPREAD = 0.8;
/** Change of the logarithm of popularity in a minute, as a deviation. */
const DRIFT_PER_MINUTE = 0.05;
const SHIFT_EVERY_MS = 20 * MINUTE_MS;
const CYCLE_MS = 20 * MINUTE_MS;
const STRAGGLER_SPEED = 0.6;

/** A normal deviate (Box-Muller). */
export const normal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

type Logits = number[][];

const drawLogits = (shape: TraceShape, random: Random): Logits =>
  Array.from({ length: shape.layers }, () =>
    Array.from({ length: shape.experts }, () => SPREAD * normal(random)),
  );

const sharesOf = (logits: Logits): number[][] =>
  logits.map((layer) => {
    const weights = layer.map(Math.exp);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.map((weight) => weight / sum);
  });

/** A random walk that is drawn back to its middle, so that its spread stays. */
const walk = (shape: TraceShape, random: Random): Logits[] => {
  const keep = Math.sqrt(1 - (DRIFT_PER_MINUTE / SPREAD) ** 2);
  const minutes = Math.ceil(shape.lengthMs / MINUTE_MS) + 1;
  const path = [drawLogits(shape, random)];
  for (let minute = 1; minute < minutes; minute += 1) {
    const last = path[minute - 1] ?? [];
    path.push(last.map((layer) => layer.map((x) => keep * x + DRIFT_PER_MINUTE * normal(random))));
  }
  return path;
};

const mix = (a: Logits, b: Logits, share: number): Logits =>
  a.map((layer, l) => layer.map((x, e) => (1 - share) * x + share * (b[l]?.[e] ?? 0)));

const popularityOf = (
  name: TraceName,
  shape: TraceShape,
  random: Random,
): ((atMs: number) => number[][]) => {
  if (name === 'sudden-shift') {
    const count = Math.ceil(shape.lengthMs / SHIFT_EVERY_MS) + 1;
    const phases = Array.from({ length: count }, () => sharesOf(drawLogits(shape, random)));
    return (atMs) => phases[Math.floor(atMs / SHIFT_EVERY_MS)] ?? [];
  }
  if (name === 'release-cycle') {
    const [calm, release] = [drawLogits(shape, random), drawLogits(shape, random)];
    return (atMs) => {
      const share = (1 - Math.cos((2 * Math.PI * atMs) / CYCLE_MS)) / 2;
      return sharesOf(mix(calm, release, share));
    };
  }
  const path = walk(shape, random);
  return (atMs) => sharesOf(path[Math.floor(atMs / MINUTE_MS)] ?? []);
};

/** Creates a trace; the middle third of `one-straggler` has one rank at a lower speed. */
export const createTrace = (name: TraceName, shape: TraceShape, random: Random): Trace => {
  const popularity = popularityOf(name, shape, random);
  const isSlow = (atMs: number): boolean =>
    name === 'one-straggler' && atMs > shape.lengthMs / 3 && atMs < (2 * shape.lengthMs) / 3;
  return {
    popularity,
    speeds: (atMs) =>
      Array.from({ length: shape.rankCount }, (_, rank) =>
        rank === 3 && isSlow(atMs) ? STRAGGLER_SPEED : 1,
      ),
    lostReports: name === 'noisy-reports' ? 0.2 : 0.005,
    reportNoise: name === 'noisy-reports' ? 0.2 : 0.02,
  };
};
