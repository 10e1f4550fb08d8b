/** Tells the coordinator of the group what one agent reads, in as few bytes as it needs. */

import type { Clock } from '@plantaindrum/common';
import type { Link } from '@plantaindrum/link';
import type { RankUpdate } from '../member.js';
import type { RankReport } from '../types.js';

/** Tells reports and picks onwards. */
export interface RankTeller {
  /** Takes a reading of the engine beside this agent. */
  note(update: RankUpdate): void;
  /** Takes picks that other agents of this data centre pass on through this one. */
  addPicks(picks: readonly number[]): void;
}

/** Options of `createRankTeller`. */
export interface RankTellerOptions {
  /** Agent that coordinates; undefined when this one does, or when none is linked. */
  coordinator: () => Link | undefined;
  /** Agent that sums picks on the way to the coordinator. */
  relay: () => Link | undefined;
  clock: Clock;
}

/** A report that says nothing new is told again after this long, in ms: half of its validity. */
const REPORT_AGAIN_MS = 240;
/** Picks are told at least this long apart, in ms: about one pass of a small group. */
const PICKS_MS = 80;
/**
 * And this much for each rank, in ms: all counts of a group then take a quarter of an agent's link
 * at 72 ranks with 1,728 counts each, where readings told as they came used up all of it.
 */
const PICKS_MS_PER_RANK = 3;

/** How long apart picks of a group of this size are read and told, in ms. */
export const picksEveryMs = (ranks: number): number =>
  Math.max(PICKS_MS, ranks * PICKS_MS_PER_RANK);

/** What a coordinator acts on; the pass that a rank has begun changes all the time. */
const essence = ({ step, ...rest }: RankReport): string => JSON.stringify(rest);

/** Adds counts one by one. */
const sumOf = (a: readonly number[], b: readonly number[]): number[] => {
  if (a.length === 0) return [...b];
  return a.map((n, at) => n + (b[at] ?? 0));
};

/** Creates a teller; it tells when it is given something, and keeps no timer. */
export const createRankTeller = (options: RankTellerOptions): RankTeller => {
  const { coordinator, relay, clock } = options;
  let toldReport = { essence: '', at: -Infinity };
  let pending: number[] = [];
  let picksAt = -Infinity;

  const tellReport = (report: RankReport): void => {
    const link = coordinator();
    const now = clock.monotonic();
    const news = essence(report);
    const isNew = news !== toldReport.essence;
    if (!link || (!isNew && now - toldReport.at < REPORT_AGAIN_MS)) return;
    toldReport = { essence: news, at: now };
    link.send({ t: 'note', method: 'rank.report', args: report });
  };

  const tellPicks = (ranks: number): void => {
    const now = clock.monotonic();
    if (pending.length === 0 || now - picksAt < picksEveryMs(ranks)) return;
    picksAt = now;
    const picks = pending;
    pending = [];
    (relay() ?? coordinator())?.send({ t: 'note', method: 'rank.picks', args: picks });
  };

  return {
    note: ({ report, picks }) => {
      tellReport(report);
      if (picks.length > 0) pending = sumOf(pending, picks);
      tellPicks(report.size);
    },
    addPicks: (picks) => {
      pending = sumOf(pending, picks);
    },
  };
};
