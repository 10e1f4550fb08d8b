import type { Registered } from '../messages.js';
import type { CoordinatorOptions } from '../types.js';
import type { CallResult, GroupCalls } from './group-calls.js';
import { coversGroup, isOvertaken, isRefused } from './group-calls.js';

/** Instances of the processes that have registered a fencing token, by node. */
export type Registrations = ReadonlyMap<string, string>;

/** Outcome of a registration. */
export type RegistrationOutcome =
  { outcome: 'registered'; instances: Registrations } | { outcome: 'overtaken' | 'incomplete' };

const instancesOf = (answers: Map<string, CallResult<Registered>>): Map<string, string> =>
  new Map(
    [...answers].flatMap(([node, answer]): [string, string][] =>
      answer && !isRefused(answer) ? [[node, answer.instance]] : [],
    ),
  );

/**
 * Registers a fencing token with the agents of all ranks, then checks that they are still the same
 * processes. An agent that restarts while the log is down recovers the token from the others; the
 * second round ensures that every agent knew the token at the end of the first and none has lost
 * it.
 */
export const registerFence = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  fence: number,
): Promise<RegistrationOutcome> => {
  const peers = options.members();
  const { rankCount } = options.layout;
  const nodes = peers.map(({ node }) => node);
  const first = await calls.callAll<Registered>(nodes, 'experts.register', { fence });
  if (isOvertaken(first.values())) return { outcome: 'overtaken' };
  const instances = instancesOf(first);
  if (!coversGroup(peers, instances.keys(), rankCount)) return { outcome: 'incomplete' };

  const second = await Promise.all(
    [...instances].map(([node, expectInstance]) =>
      calls.call<Registered>(node, 'experts.register', { fence, expectInstance }),
    ),
  );
  if (isOvertaken(second)) return { outcome: 'overtaken' };
  const isConfirmed = second.every((answer) => answer && !isRefused(answer));
  return isConfirmed ? { outcome: 'registered', instances } : { outcome: 'incomplete' };
};
