import { GROUPS_TOPIC, createGroupClaims } from '../group-claims.js';
import type { GroupClaim } from '../group-claims.js';
import type { FenceAnswer } from '../messages.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { coversGroup, isRefused } from './group-calls.js';

/** Appends of one claim before it is given up. */
const CLAIM_TRIES = 5;

/** What became of a claim. */
export type ClaimOutcome =
  { outcome: 'won'; fence: number } | { outcome: 'beaten' } | { outcome: 'log-down' };

/** How an agent becomes its group's coordinator. */
export interface Election {
  /** True when all ranks can be reached and none of them hears from a coordinator. */
  isVacant(): Promise<boolean>;
  /** Claims the group in the log; the offset of the claim is the fencing number. */
  claim(): Promise<ClaimOutcome>;
}

/** Creates the election of one agent. */
export const createElection = (options: CoordinatorOptions, calls: GroupCalls): Election => {
  const { log, group, node, instance, metrics } = options;
  const timings = { ...defaultTimings, ...options.timings };
  const claims = createGroupClaims(log);
  let serial = 0;

  // A claim deposes the coordinator in office. An agent that alone has lost sight of it would
  // depose it again and again, and could not act itself; so it asks the others first.
  const isVacant = async (): Promise<boolean> => {
    const peers = options.members();
    const answers = await calls.askAll<FenceAnswer>(
      peers.map((peer) => peer.node),
      'experts.fence',
      {},
    );
    const reached = [...answers].flatMap(([name, answer]) =>
      answer && !isRefused(answer) ? [{ name, answer }] : [],
    );
    const names = reached.map(({ name }) => name);
    if (!coversGroup(peers, names, options.layout.rankCount)) return false;
    return reached.every(({ answer }) => answer.silentMs >= timings.takeoverMs);
  };

  const tryOnce = async (claim: GroupClaim): Promise<ClaimOutcome | undefined> => {
    const appended = await log.append(GROUPS_TOPIC, 0, [claim]);
    if (!appended.ok && appended.err.kind !== 'unknown') return { outcome: 'log-down' };
    const read = await claims.catchUp();
    if (!read.ok) return { outcome: 'log-down' };
    const holder = claims.holder(group);
    if (holder?.claim.id === claim.id) return { outcome: 'won', fence: holder.fence };
    if (claims.current(group) !== claim.replaces) return { outcome: 'beaten' };
    // The answer was lost and so was the append; a second copy would not replace anything.
    metrics.count('expert_claim_retries');
    return undefined;
  };

  const claim = async (): Promise<ClaimOutcome> => {
    const read = await claims.catchUp();
    if (!read.ok) return { outcome: 'log-down' };
    serial += 1;
    const id = `${instance}:${serial}`;
    const replaces = claims.current(group);
    const record: GroupClaim = { kind: 'claim', id, group, replaces, node, instance };
    for (let tries = 0; tries < CLAIM_TRIES; tries += 1) {
      const outcome = await tryOnce(record);
      if (outcome) {
        metrics.count('expert_claims', { outcome: outcome.outcome });
        return outcome;
      }
    }
    return { outcome: 'log-down' };
  };

  return { isVacant, claim };
};
