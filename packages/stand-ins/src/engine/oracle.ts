/** Checks over all steps that the ranks of a group run together and with the same map. */
import { createHistogram } from '../histogram.js';
import type { HistogramStats } from '../histogram.js';

/** Record of one step of a group. */
export interface StepRecord {
  group: string;
  step: number;
  /** Map version used by each rank. */
  versions: number[];
  /** Time taken by each rank, in microseconds. */
  rankUs: number[];
  /** Difference between the slowest and the fastest rank, in microseconds. */
  skewUs: number;
}

/** Observations over the steps of all groups. */
export interface OracleReport {
  steps: number;
  /** Number of steps in which ranks used different map versions; must be 0. */
  mixedSteps: number;
  /** The first mixed steps, ten at most. */
  mixed: StepRecord[];
  /** Number of steps run by a part of a group's ranks while others could step without them. */
  splitSteps: number;
  /** Number of steps by map version. */
  stepsByVersion: Record<string, number>;
  skewUs: HistogramStats;
  stepUs: HistogramStats;
  /** Durations for which a group was held before a step. */
  holdUs: HistogramStats;
  /** The latest steps, oldest first. */
  recent: StepRecord[];
}

/** Records every step of every group. */
export interface Oracle {
  record(step: StepRecord, holdUs: number, split: boolean): void;
  report(recent?: number): OracleReport;
  /** Resets the statistics, except for mixed and split steps. */
  reset(): void;
}

const MAX_MIXED_RECORDS = 10;
const MAX_RECENT_RECORDS = 2000;

/** Creates an oracle without records. */
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
        if (mixed.length < MAX_MIXED_RECORDS) mixed.push(step);
      }
      skew.record(step.skewUs);
      duration.record(Math.max(...step.rankUs));
      if (holdUs > 0) hold.record(holdUs);
      recent.push(step);
      if (recent.length > 2 * MAX_RECENT_RECORDS) recent = recent.slice(-MAX_RECENT_RECORDS);
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
