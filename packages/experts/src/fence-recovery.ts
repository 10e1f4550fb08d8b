import { sleep } from '@plantaindrum/common';
import { createGroupClaims } from './group-claims.js';
import type { FenceAnswer } from './messages.js';
import type { GroupMemberOptions, GroupTimings } from './types.js';

const fenceFromLog = async (options: GroupMemberOptions): Promise<number | undefined> => {
  const claims = createGroupClaims(options.log);
  const read = await claims.catchUp();
  return read.ok ? claims.minFence(options.group) : undefined;
};

const fenceOfPeer = async (
  options: GroupMemberOptions,
  node: string,
  callMs: number,
): Promise<number | undefined> => {
  const reply = await options.call(node, 'experts.fence', {}, callMs);
  return reply.outcome === 'answered' ? (reply.value as FenceAnswer).fence : undefined;
};

// A coordinator acts only after every agent has registered its fencing token and was then seen to
// be the same process still. From its first order on, every agent that knows any token knows this
// one or a larger one, so the largest token of all other agents is sufficient.
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
 * Recovers the smallest fencing token that a new process may accept: from the log, or from all
 * other agents while the log is down. Until then it accepts none, or it could execute orders of a
 * coordinator that was replaced long ago.
 */
export const recoverFence = async (
  options: GroupMemberOptions,
  timings: GroupTimings,
  isClosed: () => boolean,
): Promise<number | undefined> => {
  for (
    let retryDelayMs = timings.askAfterMs;
    !isClosed();
    retryDelayMs = Math.min(retryDelayMs * 2, timings.watchMs)
  ) {
    const fence = (await fenceFromLog(options)) ?? (await fenceFromPeers(options, timings.callMs));
    if (fence !== undefined) return fence;
    options.metrics.count('expert_fence_recovery_retries');
    await sleep(options.clock, retryDelayMs * (1 + options.random()));
  }
  return undefined;
};
