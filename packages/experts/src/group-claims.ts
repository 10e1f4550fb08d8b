import type { Result } from '@plantaindrum/common';
import { ok } from '@plantaindrum/common';
import type { Log, LogFailure, LogRecord } from '@plantaindrum/service-clients';

/** Log topic of the groups' claims; it has one partition, so that offsets order all claims. */
export const GROUPS_TOPIC = 'plantaindrum.groups';
const PARTITION = 0;

/** A coordinator's claim to a group; the offset of the record is the fencing token. */
export interface GroupClaim {
  kind: 'claim';
  /** Unique id, to find the claim in the log when the answer to its append was lost. */
  id: string;
  group: string;
  /** Fencing token of the claim that this one replaces; -1 for none. */
  replaces: number;
  node: string;
  instance: string;
}

/** The claim that currently holds a group. */
export interface ClaimHolder {
  fence: number;
  claim: GroupClaim;
}

/** Replay of the groups topic; all readers find the same holders. */
export interface GroupClaims {
  /** Reads up to the current end of the log. */
  catchUp(): Promise<Result<void, LogFailure>>;
  /** Holder of a group, as of the last `catchUp`. */
  holder(group: string): ClaimHolder | undefined;
  /**
   * Smallest fencing token that may be accepted. Claims that have expired from the log count as
   * replaced: the log no longer shows which of them was the last.
   */
  minFence(group: string): number;
  /** Token that a new claim has to replace: the holder's, or -1 for none or an expired one. */
  currentFence(group: string): number;
}

const isClaim = (value: unknown): value is GroupClaim => {
  const claim = value as Partial<GroupClaim> | null;
  return (
    claim?.kind === 'claim' &&
    typeof claim.id === 'string' &&
    typeof claim.group === 'string' &&
    typeof claim.replaces === 'number'
  );
};

/** Creates a reader of the claims in this log. */
export const createGroupClaims = (log: Log): GroupClaims => {
  const holders = new Map<string, ClaimHolder>();
  let nextOffset = 0;
  let logBeginning = 0;

  const currentFence = (group: string): number => {
    const fence = holders.get(group)?.fence ?? -1;
    return fence >= logBeginning ? fence : -1;
  };

  const replay = ({ offset, value }: LogRecord): void => {
    nextOffset = offset + 1;
    if (!isClaim(value)) return;
    // A claim that replaces an outdated token lost the race. Whether one that replaces an expired
    // token won can't be verified any more; accepting it is safe, as a larger token only refuses
    // more.
    const isCurrent = value.replaces === currentFence(value.group);
    const isUnverifiable = value.replaces >= 0 && value.replaces < logBeginning;
    if (isCurrent || isUnverifiable) holders.set(value.group, { fence: offset, claim: value });
  };

  const catchUp = async (): Promise<Result<void, LogFailure>> => {
    const offsets = await log.offsets(GROUPS_TOPIC, PARTITION);
    if (!offsets.ok) return offsets;
    logBeginning = Math.max(logBeginning, offsets.value.beginning);
    nextOffset = Math.max(nextOffset, logBeginning);
    while (nextOffset < offsets.value.end) {
      const records = await log.read(GROUPS_TOPIC, PARTITION, nextOffset, 0);
      if (!records.ok) return records;
      if (records.value.length === 0) return ok(undefined);
      records.value.forEach(replay);
    }
    return ok(undefined);
  };

  return {
    catchUp,
    holder: (group) => holders.get(group),
    minFence: (group) => Math.max(holders.get(group)?.fence ?? -1, logBeginning - 1),
    currentFence,
  };
};
