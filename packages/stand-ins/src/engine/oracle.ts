import { createHistogram } from '../histogram.js';
import type { HistogramStats } from '../histogram.js';

/** What every rank did in one step. */
export interface StepRecord {
  group: string;
  step: number;
  /** The map version that each rank used, by rank. */
  versions: number[];
  /** Time that each rank took, in microseconds. */
  rankUs: number[];
  /** The slowest rank's time less the fastest's, in microseconds. */
  skewUs: number;
}

/** What the oracle has seen of all groups. */
export interface OracleReport {
  steps: number;
  /** Steps in which two ranks used different versions; must be 0. */
  mixedSteps: number;
  /** Up to ten of the mixed steps. */
  mixed: StepRecord[];
  /** Steps that were made by some of a group's ranks while others made steps without them. */
  splitSteps: number;
  /** Number of steps by map version. */
  stepsByVersion: Record<string, number>;
  skewUs: HistogramStats;
  stepUs: HistogramStats;
  /** Times that a group stood still for holds, and their lengths. */
  holdUs: HistogramStats;
  /** The last steps, oldest first. */
  recent: StepRecord[];
}

/** Watches every step of every group. */
export interface Oracle {
  record(step: StepRecord, holdUs: number, split: boolean): void;
  report(recent?: number): OracleReport;
  /** Starts the figures anew; mixed and split steps are kept. */
  reset(): void;
}

const MOST_MIXED = 10;
const MOST_RECENT = 2000;

/** Creates an oracle that has seen nothing. */
export const createOracle = (): Oracle => {
  let steps = 0;
  let mixedSteps = 0;
  let splitSteps = 0;
  const mixed: StepRecord[] = [];
  let stepsByVersion: Record<string, number> = {};
  let recent: StepRecord[] = [];
  let skew = createHistogram();
  let duration = createHistogram();
  let hold = createHistogram();

  const countVersions = (versions: Set<number>): void => {
    versions.forEach((version) => {
      stepsByVersion[version] = (stepsByVersion[version] ?? 0) + 1;
    });
  };

  return {
    record: (step, holdUs, split) => {
      steps += 1;
      if (split) splitSteps += 1;
      const versions = new Set(step.versions);
      countVersions(versions);
      if (versions.size > 1) {
        mixedSteps += 1;
        if (mixed.length < MOST_MIXED) mixed.push(step);
      }
      skew.record(step.skewUs);
      duration.record(Math.max(...step.rankUs));
      if (holdUs > 0) hold.record(holdUs);
      recent.push(step);
      if (recent.length > 2 * MOST_RECENT) recent = recent.slice(-MOST_RECENT);
    },
    report: (last = 0) => ({
      steps,
      mixedSteps,
      mixed,
      splitSteps,
      stepsByVersion: { ...stepsByVersion },
      skewUs: skew.stats(),
      stepUs: duration.stats(),
      holdUs: hold.stats(),
      recent: last > 0 ? recent.slice(-last) : [],
    }),
    reset: () => {
      steps = 0;
      stepsByVersion = {};
      skew = createHistogram();
      duration = createHistogram();
      hold = createHistogram();
    },
  };
};
