/**
 * Answers to calls along the tree: their types, their encoding on links, and how they are joined.
 */

import { isNumber, isNumbers, isObject } from '@plantaindrum/common';
import type { OrderOutcome, RankPlacement, RankReport } from '../types.js';
import { packCounts, unpackCounts } from './packing.js';
import type { TreeMethod } from './tree-calls.js';

/** `unknown-base`: the rank's agent doesn't have the map to which a delta applies. */
export type RankOutcome = OrderOutcome | 'unknown-base';

/** Ranks by the outcome of an order. */
export type RankOutcomes = Partial<Record<RankOutcome, number[]>>;

/** The experts of one rank. */
export interface HeldExperts {
  rank: number;
  held: RankPlacement;
}

/**
 * Telemetry of ranks: their latest reports, and the sum of their selection counts since the last
 * poll.
 */
export interface RankTelemetry {
  reports: RankReport[];
  picks: number[];
}

/** Answer types by method name. */
export interface RankAnswers {
  order: RankOutcomes;
  prepare: RankOutcomes;
  /** Waits until the rank has prepared a version. */
  prepared: RankOutcomes;
  /** Caches the map in use, to which later ones are sent as deltas. */
  'map-in-use': RankOutcomes;
  /** Applies records of the node registry that the coordinator's agent has read. */
  nodes: RankOutcomes;
  /** Reads a current report. */
  report: RankReport[];
  placement: HeldExperts[];
  news: RankTelemetry;
}

const OUTCOMES: readonly RankOutcome[] = ['done', 'refused', 'no-answer', 'unknown-base'];

const all = <T>(parts: readonly (T | undefined)[]): T[] | undefined =>
  parts.every((part) => part !== undefined) ? (parts as T[]) : undefined;

const readList = <T>(value: unknown, read: (item: unknown) => T | undefined): T[] | undefined =>
  Array.isArray(value) ? all(value.map(read)) : undefined;

const readOutcomes = (value: unknown): RankOutcomes | undefined => {
  if (!isObject(value)) return undefined;
  const outcomes: RankOutcomes = {};
  OUTCOMES.forEach((outcome) => {
    const ranks = value[outcome];
    if (isNumbers(ranks)) outcomes[outcome] = ranks;
  });
  return outcomes;
};

const joinOutcomes = (parts: readonly RankOutcomes[]): RankOutcomes => {
  const joined: RankOutcomes = {};
  OUTCOMES.forEach((outcome) => {
    const ranks = parts.flatMap((part) => part[outcome] ?? []);
    if (ranks.length > 0) joined[outcome] = ranks;
  });
  return joined;
};

const ABSENT = -1;

/**
 * Encodes a report as an array. With the names of their fields, 192 reports take 50 KB, a tenth of
 * a second on a narrow link.
 */
const reportToWire = (report: RankReport): unknown[] => {
  const { group, rank, size, startedAt, epoch, isOpen, step, map, prepared, armed, held } = report;
  const armedFor = [armed?.version ?? ABSENT, armed?.step ?? ABSENT];
  const state = [prepared ?? ABSENT, ...armedFor, held ?? ABSENT, report.pace];
  return [group, rank, size, startedAt, epoch, isOpen ? 1 : 0, step, map, ...state];
};

const optional = (value: number): number | undefined => (value === ABSENT ? undefined : value);

const reportFromWire = (value: unknown): RankReport | undefined => {
  if (!Array.isArray(value) || typeof value[0] !== 'string') return undefined;
  const [group, ...numbers] = value as [string, ...unknown[]];
  if (!isNumbers(numbers) || numbers.length < 12) return undefined;
  const [rank = 0, size = 0, startedAt = 0, epoch = 0, isOpen = 0, step = 0, map = 0] = numbers;
  const [prepared = ABSENT, version = ABSENT, armedStep = ABSENT] = numbers.slice(7);
  const [held = ABSENT, pace = 1] = numbers.slice(10);
  return {
    ...{ group, startedAt, epoch, rank, size, isOpen: isOpen === 1, step, map },
    ...{ prepared: optional(prepared), held: optional(held), pace },
    armed: version === ABSENT ? undefined : { version, step: armedStep },
  };
};

const heldToWire = ({ rank, held }: HeldExperts): unknown[] => [
  rank,
  held.epoch,
  held.version,
  held.experts,
];

const heldFromWire = (value: unknown): HeldExperts | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [rank, epoch, version, experts] = value as unknown[];
  if (!isNumber(rank) || !isNumber(epoch) || !isNumber(version)) return undefined;
  if (!Array.isArray(experts) || !experts.every(isNumbers)) return undefined;
  return { rank, held: { epoch, version, experts } };
};

/** Adds counts element by element; an empty list counts as zeros. */
const addCounts = (a: readonly number[], b: readonly number[]): number[] => {
  if (a.length === 0) return [...b];
  if (b.length === 0) return [...a];
  return a.map((n, at) => n + (b[at] ?? 0));
};

const telemetryFromWire = (value: unknown): RankTelemetry | undefined => {
  if (!isObject(value) || !(value.counts instanceof Uint8Array)) return undefined;
  const reports = readList(value.reports, reportFromWire);
  const picks = unpackCounts(value.counts);
  return reports && picks && { reports, picks };
};

/** The parts of a method that don't depend on the agent that serves it. */
export type AnswerCodec<Answer> = Omit<TreeMethod<Answer>, 'run'>;

const outcomesCodec: AnswerCodec<RankOutcomes> = {
  read: readOutcomes,
  join: joinOutcomes,
  ranks: (answer) => OUTCOMES.flatMap((outcome) => answer[outcome] ?? []),
};

/** Encoding, decoding and joining of each kind of answer. */
export const answerCodecs: {
  readonly [Name in keyof RankAnswers]: AnswerCodec<RankAnswers[Name]>;
} = {
  order: outcomesCodec,
  prepare: outcomesCodec,
  prepared: outcomesCodec,
  'map-in-use': outcomesCodec,
  nodes: outcomesCodec,
  report: {
    read: (value) => readList(value, reportFromWire),
    write: (reports) => reports.map(reportToWire),
    join: (parts) => parts.flat(),
    ranks: (reports) => reports.map(({ rank }) => rank),
  },
  placement: {
    read: (value) => readList(value, heldFromWire),
    write: (answer) => answer.map(heldToWire),
    join: (parts) => parts.flat(),
    ranks: (answer) => answer.map(({ rank }) => rank),
  },
  news: {
    read: telemetryFromWire,
    write: ({ reports, picks }) => ({
      reports: reports.map(reportToWire),
      counts: packCounts(picks),
    }),
    join: (parts) => ({
      reports: parts.flatMap(({ reports }) => reports),
      picks: parts.reduce<number[]>((sum, { picks }) => addCounts(sum, picks), []),
    }),
    ranks: ({ reports }) => reports.map(({ rank }) => rank),
  },
};
