import type { HeartbeatAnswer } from '../messages.js';
import type { CoordinatorOptions } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { coversGroup, isOvertaken, isRefused } from './group-calls.js';
import { isBlank } from './forming.js';
import type { Registrations } from './registration.js';

/** State of a group after a round of heartbeats. */
export type GroupView =
  | { view: 'overtaken' | 'incomplete' | 'restarted' | 'settling' | 'mixed' }
  | { view: 'blank'; replies: Map<string, HeartbeatAnswer> }
  | { view: 'steady'; replies: Map<string, HeartbeatAnswer>; version: number };

/** Sends a round of heartbeats and returns the state of the group. */
export const viewGroup = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  fence: number,
  registered: Registrations,
): Promise<GroupView> => {
  const peers = options.members();
  const nodes = peers.map(({ node }) => node);
  const answers = await calls.callAll<HeartbeatAnswer>(nodes, 'experts.heartbeat', { fence });
  if (isOvertaken(answers.values())) return { view: 'overtaken' };
  const replies = new Map(
    [...answers].flatMap(([node, answer]): [string, HeartbeatAnswer][] =>
      answer && !isRefused(answer) ? [[node, answer]] : [],
    ),
  );
  if (!coversGroup(peers, replies.keys(), options.layout.rankCount)) return { view: 'incomplete' };
  const isKnown = [...replies].every(([node, reply]) => registered.get(node) === reply.instance);
  if (!isKnown) return { view: 'restarted' };
  if ([...replies.values()].some(isBlank)) return { view: 'blank', replies };

  const ranks = [...replies.values()].flatMap((reply) => reply.ranks);
  if (ranks.some(({ armed }) => armed !== null)) return { view: 'settling' };
  const [version = null, ...others] = new Set(ranks.map((rank) => rank.version));
  if (version === null || others.length > 0) return { view: 'mixed' };
  return { view: 'steady', replies, version };
};
