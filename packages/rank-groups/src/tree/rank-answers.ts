/** What agents answer each other along a tree: shapes on links, and how answers are joined. */

import { isNumber, isNumbers, isObject } from '@plantaindrum/common';
import type { OrderOutcome, RankPlacement, RankReport } from '../types.js';
import { packNumbers, unpackNumbers } from './packing.js';
import type { TreeMethod } from './tree-calls.js';

/** `unknown-base`: the rank's agent doesn't have the map that a difference applies to. */
export type RankOutcome = OrderOutcome | 'unknown-base';

/** Ranks by how an order ended there. */
export type RankOutcomes = Partial<Record<RankOutcome, number[]>>;

/** What one rank holds. */
export interface HeldExperts {
  rank: number;
  held: RankPlacement;
}

/** What ranks have to tell: their newest reports, and the sum of what they counted since they were last asked. */
export interface RankNews {
  reports: RankReport[];
  picks: number[];
}

/** Answers by the name of what is asked. */
export interface RankAnswers {
  order: RankOutcomes;
  prepare: RankOutcomes;
  /** Waits until the rank has copied a version. */
  prepared: RankOutcomes;
  /** Takes note of the map in use, to which later ones are told as differences. */
  'map-in-use': RankOutcomes;
  /** Takes what the coordinator's agent has read of the list of nodes. */
  nodes: RankOutcomes;
  /** A report that is read now. */
  report: RankReport[];
  placement: HeldExperts[];
  news: RankNews;
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

const NOTHING = -1;

/** A report as numbers: 192 of them with their names are 50 KB, a tenth of a second on a narrow link. */
const reportToWire = (report: RankReport): unknown[] => {
  const { group, rank, size, startedAt, epoch, isOpen, step, map, prepared, armed, held } = report;
  const armedFor = [armed?.version ?? NOTHING, armed?.step ?? NOTHING];
  const state = [prepared ?? NOTHING, ...armedFor, held ?? NOTHING, report.pace];
  return [group, rank, size, startedAt, epoch, isOpen ? 1 : 0, step, map, ...state];
};

const given = (value: number): number | undefined => (value === NOTHING ? undefined : value);

const reportFromWire = (value: unknown): RankReport | undefined => {
  if (!Array.isArray(value) || typeof value[0] !== 'string') return undefined;
  const [group, ...numbers] = value as [string, ...unknown[]];
  if (!isNumbers(numbers) || numbers.length < 12) return undefined;
  const [rank = 0, size = 0, startedAt = 0, epoch = 0, isOpen = 0, step = 0, map = 0] = numbers;
  const [prepared = NOTHING, version = NOTHING, armedStep = NOTHING] = numbers.slice(7);
  const [held = NOTHING, pace = 1] = numbers.slice(10);
  return {
    ...{ group, startedAt, epoch, rank, size, isOpen: isOpen === 1, step, map },
    ...{ prepared: given(prepared), held: given(held), pace },
    armed: version === NOTHING ? undefined : { version, step: armedStep },
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

/** Adds counts one by one. */
const sumOf = (a: readonly number[], b: readonly number[]): number[] => {
  if (a.length === 0) return [...b];
  if (b.length === 0) return [...a];
  return a.map((n, at) => n + (b[at] ?? 0));
};

const newsFromWire = (value: unknown): RankNews | undefined => {
  if (!isObject(value) || !(value.picks instanceof Uint8Array)) return undefined;
  const reports = readList(value.reports, reportFromWire);
  const picks = unpackNumbers(value.picks);
  return reports && picks && { reports, picks };
};

/** The parts of a method that don't depend on the agent that serves it. */
export type AnswerShape<Answer> = Omit<TreeMethod<Answer>, 'run'>;

const outcomes: AnswerShape<RankOutcomes> = {
  read: readOutcomes,
  join: joinOutcomes,
  ranks: (answer) => OUTCOMES.flatMap((outcome) => answer[outcome] ?? []),
};

/** How each kind of answer is written, read and joined. */
export const answerShapes: {
  readonly [Name in keyof RankAnswers]: AnswerShape<RankAnswers[Name]>;
} = {
  order: outcomes,
  prepare: outcomes,
  prepared: outcomes,
  'map-in-use': outcomes,
  nodes: outcomes,
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
    read: newsFromWire,
    write: ({ reports, picks }) => ({
      reports: reports.map(reportToWire),
      picks: packNumbers(picks),
    }),
    join: (parts) => ({
      reports: parts.flatMap(({ reports }) => reports),
      picks: parts.reduce<number[]>((sum, { picks }) => sumOf(sum, picks), []),
    }),
    ranks: ({ reports }) => reports.map(({ rank }) => rank),
  },
};
