import type { HeartbeatAnswer } from '../messages.js';
import type { CoordinatorOptions } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { coversGroup, isOvertaken, isRefused } from './group-calls.js';
import { isBlank } from './forming.js';
import type { Registrations } from './registration.js';

/** What one round of heartbeats shows. */
export type GroupView =
  | { view: 'overtaken' | 'incomplete' | 'restarted' | 'settling' | 'mixed' }
  | { view: 'blank'; beats: Map<string, HeartbeatAnswer> }
  | { view: 'steady'; beats: Map<string, HeartbeatAnswer>; version: number };

/** Sends a round of heartbeats and tells what state the group is in. */
export const viewGroup = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  fence: number,
  registered: Registrations,
): Promise<GroupView> => {
  const peers = options.members();
  const nodes = peers.map(({ node }) => node);
  const answers = await calls.askAll<HeartbeatAnswer>(nodes, 'experts.heartbeat', { fence });
  if (isOvertaken(answers.values())) return { view: 'overtaken' };
  const beats = new Map(
    [...answers].flatMap(([node, answer]): [string, HeartbeatAnswer][] =>
      answer && !isRefused(answer) ? [[node, answer]] : [],
    ),
  );
  if (!coversGroup(peers, beats.keys(), options.layout.rankCount)) return { view: 'incomplete' };
  const isKnown = [...beats].every(([node, beat]) => registered.get(node) === beat.instance);
  if (!isKnown) return { view: 'restarted' };
  if ([...beats.values()].some(isBlank)) return { view: 'blank', beats };

  const ranks = [...beats.values()].flatMap((beat) => beat.ranks);
  if (ranks.some(({ armed }) => armed !== null)) return { view: 'settling' };
  const [version = null, ...others] = new Set(ranks.map((rank) => rank.version));
  if (version === null || others.length > 0) return { view: 'mixed' };
  return { view: 'steady', beats, version };
};
