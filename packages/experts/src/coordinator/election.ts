import { GROUPS_TOPIC, createGroupClaims } from '../group-claims.js';
import type { GroupClaim } from '../group-claims.js';
import type { FenceAnswer } from '../messages.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { coversGroup, isRefused } from './group-calls.js';

/** Largest number of appends of one claim. */
const MAX_CLAIM_TRIES = 5;

/** Outcome of a claim. */
export type ClaimOutcome =
  { outcome: 'won'; fence: number } | { outcome: 'beaten' } | { outcome: 'log-down' };

/** Election of an agent as coordinator of its group. */
export interface Election {
  /** Whether all ranks can be reached and none of them gets heartbeats from a coordinator. */
  hasNoCoordinator(): Promise<boolean>;
  /** Claims the group in the log; the offset of the claim is the fencing token. */
  claim(): Promise<ClaimOutcome>;
}

/** Creates the election of one agent. */
export const createElection = (options: CoordinatorOptions, calls: GroupCalls): Election => {
  const { log, group, node, instance, metrics } = options;
  const timings = { ...defaultTimings, ...options.timings };
  const claims = createGroupClaims(log);
  let serial = 0;

  // A claim replaces the current coordinator. An agent that alone can't reach it would replace it
  // again and again without being able to coordinate, so it queries the others first.
  const hasNoCoordinator = async (): Promise<boolean> => {
    const peers = options.members();
    const answers = await calls.callAll<FenceAnswer>(
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

  const appendClaim = async (claim: GroupClaim): Promise<ClaimOutcome | undefined> => {
    const appended = await log.append(GROUPS_TOPIC, 0, [claim]);
    if (!appended.ok && appended.err.kind !== 'unknown') return { outcome: 'log-down' };
    const read = await claims.catchUp();
    if (!read.ok) return { outcome: 'log-down' };
    const holder = claims.holder(group);
    if (holder?.claim.id === claim.id) return { outcome: 'won', fence: holder.fence };
    if (claims.currentFence(group) !== claim.replaces) return { outcome: 'beaten' };
    // The append was lost together with its answer. If it still has an effect later, the duplicate
    // replaces nothing.
    metrics.count('expert_claim_retries');
    return undefined;
  };

  const claim = async (): Promise<ClaimOutcome> => {
    const read = await claims.catchUp();
    if (!read.ok) return { outcome: 'log-down' };
    serial += 1;
    const id = `${instance}:${serial}`;
    const replaces = claims.currentFence(group);
    const record: GroupClaim = { kind: 'claim', id, group, replaces, node, instance };
    for (let tries = 0; tries < MAX_CLAIM_TRIES; tries += 1) {
      const outcome = await appendClaim(record);
      if (outcome) {
        metrics.count('expert_claims', { outcome: outcome.outcome });
        return outcome;
      }
    }
    return { outcome: 'log-down' };
  };

  return { hasNoCoordinator, claim };
};
