/** Leaves out the upstreams of groups that the next stream should not go to. */

import type { Clock } from '@plantaindrum/common';
import type { Upstream } from '../upstreams/upstream.js';
import type { GroupChoice } from './group-choice.js';
import type { GroupDirectory, RankGroup } from './group-directory.js';
import { createStreamAllowance, isSteady, takeUpRate } from './take-up-rate.js';
import type { StreamAllowance } from './take-up-rate.js';

/** Returns the candidates in the chosen groups; all of them where they belong to fewer than two groups. */
export type NarrowToGroup = (candidates: readonly Upstream[]) => readonly Upstream[];

/** The narrowing of one entry. */
export interface GroupNarrowing {
  narrow: NarrowToGroup;
  /** Records that an upstream was selected: a group that has just opened gets streams at a rate. */
  recordSent(upstream: Upstream): void;
}

/** Options of `createGroupNarrowing`. */
export interface GroupNarrowingOptions {
  groups: Pick<GroupDirectory, 'groupOf'>;
  choice: GroupChoice;
  /** Number of entries that may be running, including this one. */
  entries: () => number;
  clock: Clock;
}

/** Quantile of the recent pauses that stands for a group's passes; stalled streams are left out. */
const PASS_QUANTILE = 0.5;

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Creates the narrowing. */
export const createGroupNarrowing = (options: GroupNarrowingOptions): GroupNarrowing => {
  const { groups, choice, entries, clock } = options;
  const allowances = new WeakMap<RankGroup, StreamAllowance>();

  const allowanceOf = (group: RankGroup): StreamAllowance => {
    const allowance = allowances.get(group) ?? createStreamAllowance(clock);
    allowances.set(group, allowance);
    return allowance;
  };

  const isReady = (group: RankGroup): boolean =>
    isSteady(group, clock) || allowanceOf(group).accrue(takeUpRate([group], entries())) >= 1;

  const narrow: NarrowToGroup = (candidates) => {
    const byGroup = new Map<RankGroup, Upstream[]>();
    const ungrouped: Upstream[] = [];
    candidates.forEach((upstream) => {
      const group = groups.groupOf(upstream);
      if (!group) ungrouped.push(upstream);
      else if (!byGroup.get(group)?.push(upstream)) byGroup.set(group, [upstream]);
    });
    if (byGroup.size < 2) return candidates;
    const names = choice.choose(
      [...byGroup].map(([group, upstreams]) => ({
        name: group.name,
        streams: sum(upstreams.map((upstream) => upstream.total())),
        slots: sum(upstreams.map(({ record }) => record.slots)),
        passMs: group.timings.pauseQuantile(PASS_QUANTILE),
        isReady: isReady(group),
      })),
    );
    const chosen = [...byGroup].filter(([{ name }]) => names.includes(name));
    // The group of an upstream whose agent has not been seen is unknown; it stays in use.
    return [...chosen.flatMap(([, upstreams]) => upstreams), ...ungrouped];
  };

  return {
    narrow,
    recordSent: (upstream) => {
      const group = groups.groupOf(upstream);
      if (group && !isSteady(group, clock)) allowanceOf(group).take(1);
    },
  };
};
