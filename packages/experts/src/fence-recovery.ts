import { sleep } from '@plantaindrum/common';
import { createGroupClaims } from './group-claims.js';
import type { FenceAnswer } from './messages.js';
import type { GroupMemberOptions, GroupTimings } from './types.js';

const fenceFromLog = async (options: GroupMemberOptions): Promise<number | undefined> => {
  const claims = createGroupClaims(options.log);
  const read = await claims.catchUp();
  return read.ok ? claims.floor(options.group) : undefined;
};

const fenceOfPeer = async (
  options: GroupMemberOptions,
  node: string,
  callMs: number,
): Promise<number | undefined> => {
  const reply = await options.call(node, 'experts.fence', {}, callMs);
  return reply.outcome === 'answered' ? (reply.value as FenceAnswer).fence : undefined;
};

// A coordinator acts only after every agent has registered its number and has then been seen in
// the same process once more. So from its first order on, every agent that remembers anything
// remembers this number or a larger one, and the largest of all others' numbers is enough.
const fenceFromPeers = async (
  options: GroupMemberOptions,
  callMs: number,
): Promise<number | undefined> => {
  const others = options.members().filter(({ node }) => node !== options.node);
  const ranks = new Set([...options.ranks, ...others.flatMap((peer) => peer.ranks)]);
  if (others.length === 0 || ranks.size < options.rankCount) return undefined;
  const fences = await Promise.all(others.map(({ node }) => fenceOfPeer(options, node, callMs)));
  if (fences.some((fence) => fence === undefined)) return undefined;
  return Math.max(...fences.map((fence) => fence ?? -1));
};

/**
 * Finds the smallest fencing number that a process with nothing in memory may obey: from the log,
 * or from all the other agents while the log is down. Until then it obeys nobody: a coordinator
 * that was replaced long ago would otherwise find one agent that takes its orders.
 */
export const recoverFence = async (
  options: GroupMemberOptions,
  timings: GroupTimings,
  isClosed: () => boolean,
): Promise<number | undefined> => {
  for (let wait = timings.askAfterMs; !isClosed(); wait = Math.min(wait * 2, timings.watchMs)) {
    const fence = (await fenceFromLog(options)) ?? (await fenceFromPeers(options, timings.callMs));
    if (fence !== undefined) return fence;
    options.metrics.count('expert_fence_recovery_retries');
    await sleep(options.clock, wait * (1 + options.random()));
  }
  return undefined;
};
