import type { Refused } from '../messages.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions, ExpertMethod, GroupPeer } from '../types.js';

/** An answer, a refusal, or undefined when no answer was received. */
export type CallResult<T> = T | Refused | undefined;

/** Calls from a coordinator to the group's agents, including its own. */
export interface GroupCalls {
  call<T>(
    node: string,
    method: ExpertMethod,
    args: unknown,
    timeoutMs?: number,
  ): Promise<CallResult<T>>;
  callAll<T>(
    nodes: readonly string[],
    method: ExpertMethod,
    args: unknown,
    timeoutMs?: number,
  ): Promise<Map<string, CallResult<T>>>;
}

/** Whether an answer is a refusal. */
export const isRefused = (answer: unknown): answer is Refused =>
  (answer as Partial<Refused> | undefined)?.outcome === 'refused';

/** Whether an agent has accepted a larger fencing token than the coordinator's. */
export const isOvertaken = (answers: Iterable<unknown>): boolean =>
  [...answers].some((answer) => isRefused(answer) && answer.reason === 'old-fence');

/** Whether the given nodes together serve every rank of the group. */
export const coversGroup = (
  peers: readonly GroupPeer[],
  nodes: Iterable<string>,
  rankCount: number,
): boolean => {
  const reached = new Set(nodes);
  const ranks = new Set(
    peers.filter(({ node }) => reached.has(node)).flatMap((peer) => peer.ranks),
  );
  return ranks.size >= rankCount;
};

const isLost = (value: unknown): boolean =>
  (value as { outcome?: unknown } | null)?.outcome === 'lost';

/** Creates the calls of one coordinator. */
export const createGroupCalls = (options: CoordinatorOptions): GroupCalls => {
  const timings = { ...defaultTimings, ...options.timings };

  const call: GroupCalls['call'] = async <T>(
    node: string,
    method: ExpertMethod,
    args: unknown,
    timeoutMs = timings.callMs,
  ): Promise<CallResult<T>> => {
    if (node === options.node) {
      const value = await options.member.serve(method, args);
      return isLost(value) ? undefined : (value as T | Refused);
    }
    const reply = await options.call(node, method, args, timeoutMs);
    if (reply.outcome !== 'answered' || isLost(reply.value)) return undefined;
    return reply.value as T | Refused;
  };

  return {
    call,
    callAll: async <T>(
      nodes: readonly string[],
      method: ExpertMethod,
      args: unknown,
      timeoutMs?: number,
    ) => {
      const results = nodes.map(
        async (node) => [node, await call<T>(node, method, args, timeoutMs)] as const,
      );
      return new Map(await Promise.all(results));
    },
  };
};
