/** The parts of an entry that know its rank groups. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { DirectoryOptions, Exclusion } from '../upstreams/directory.js';
import type { Upstream } from '../upstreams/upstream.js';
import { createGroupChoice } from './group-choice.js';
import { createGroupDirectory } from './group-directory.js';
import type { GroupDirectory, GroupDirectoryOptions } from './group-directory.js';
import { createGroupNarrowing } from './group-narrowing.js';
import { createTakeUpQueue } from './take-up-queue.js';
import type { TakeUpQueue } from './take-up-queue.js';

/** Rank groups, the queue of requests that wait for them, and their part in the selection of upstreams. */
export interface RankGroups {
  groups: GroupDirectory;
  takeUp: TakeUpQueue;
  exclusion: Exclusion;
  selection: Pick<DirectoryOptions, 'isProbeTarget' | 'narrow' | 'recordSelected'>;
  /** Sets where the upstreams are listed: the directory of upstreams is created with the selection above. */
  setUpstreams(upstreams: () => readonly Upstream[]): void;
}

/** Options of `createRankGroups`. */
export interface RankGroupsOptions extends Omit<GroupDirectoryOptions, 'upstreams'> {
  /** Number of entries that may be running, including this one. */
  entries: () => number;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Creates the rank groups of an entry that knows of none. */
export const createRankGroups = (options: RankGroupsOptions): RankGroups => {
  const { entries, clock } = options;
  let upstreams = (): readonly Upstream[] => [];
  const groups = createGroupDirectory({ ...options, upstreams: () => upstreams() });
  const choice = createGroupChoice(clock, options.random);
  const { narrow, recordSent } = createGroupNarrowing({ groups, choice, entries, clock });
  return {
    groups,
    takeUp: createTakeUpQueue({ ...options, groups }),
    exclusion: { reason: 'group-closed', excludes: groups.isClosed },
    selection: {
      isProbeTarget: groups.isProbeTarget,
      narrow,
      recordSelected: recordSent,
    },
    setUpstreams: (listed) => {
      upstreams = listed;
    },
  };
};
