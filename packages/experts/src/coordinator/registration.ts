import type { Registered } from '../messages.js';
import type { CoordinatorOptions } from '../types.js';
import type { Asked, GroupCalls } from './group-calls.js';
import { coversGroup, isOvertaken, isRefused } from './group-calls.js';

/** The processes that have registered a fencing number, by node. */
export type Registrations = ReadonlyMap<string, string>;

/** What became of a registration. */
export type RegistrationOutcome =
  { outcome: 'registered'; instances: Registrations } | { outcome: 'overtaken' | 'incomplete' };

const instancesOf = (answers: Map<string, Asked<Registered>>): Map<string, string> =>
  new Map(
    [...answers].flatMap(([node, answer]): [string, string][] =>
      answer && !isRefused(answer) ? [[node, answer.instance]] : [],
    ),
  );

/**
 * Registers a fencing number with agents of every rank, then checks that they are still the same
 * processes. The second round is for agents that restart while the log is down and ask the others
 * for the number: at the end of the first round every agent knows it, and none has forgotten it.
 */
export const registerFence = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  fence: number,
): Promise<RegistrationOutcome> => {
  const peers = options.members();
  const { rankCount } = options.layout;
  const nodes = peers.map(({ node }) => node);
  const first = await calls.askAll<Registered>(nodes, 'experts.register', { fence });
  if (isOvertaken(first.values())) return { outcome: 'overtaken' };
  const instances = instancesOf(first);
  if (!coversGroup(peers, instances.keys(), rankCount)) return { outcome: 'incomplete' };

  const second = await Promise.all(
    [...instances].map(([node, expectInstance]) =>
      calls.ask<Registered>(node, 'experts.register', { fence, expectInstance }),
    ),
  );
  if (isOvertaken(second)) return { outcome: 'overtaken' };
  const isConfirmed = second.every((answer) => answer && !isRefused(answer));
  return isConfirmed ? { outcome: 'registered', instances } : { outcome: 'incomplete' };
};
