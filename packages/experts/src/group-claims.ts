import type { Result } from '@plantaindrum/common';
import { ok } from '@plantaindrum/common';
import type { Log, LogFailure, LogRecord } from '@plantaindrum/service-clients';

/** The log topic of the groups' claims; one partition, so that offsets order all claims. */
export const GROUPS_TOPIC = 'plantaindrum.groups';
const PARTITION = 0;

/** A coordinator's claim to a group; its offset becomes its fencing number. */
export interface GroupClaim {
  kind: 'claim';
  /** Unique, so that an append whose answer was lost can be looked up. */
  id: string;
  group: string;
  /** The fencing number that this claim follows; -1 for none. */
  replaces: number;
  node: string;
  instance: string;
}

/** The claim that holds a group. */
export interface ClaimHolder {
  fence: number;
  claim: GroupClaim;
}

/** Replays the groups topic; every reader comes to the same holders. */
export interface GroupClaims {
  /** Reads up to the end that the log has now. */
  catchUp(): Promise<Result<void, LogFailure>>;
  /** Holder of a group, as of the last `catchUp`. */
  holder(group: string): ClaimHolder | undefined;
  /**
   * Smallest fencing number that may still be obeyed. Claims that have aged out of the log count
   * as beaten: the log can no longer show which of them was the last.
   */
  floor(group: string): number;
  /** What a new claim has to replace: the holder's fence, -1 for none or one that aged out. */
  current(group: string): number;
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
  let next = 0;
  let beginning = 0;

  const current = (group: string): number => {
    const fence = holders.get(group)?.fence ?? -1;
    return fence >= beginning ? fence : -1;
  };

  const replay = ({ offset, value }: LogRecord): void => {
    next = offset + 1;
    if (!isClaim(value)) return;
    // A claim made against a state that has changed since lost the race. One against a state that
    // aged out can't be judged any more; obeying its larger number refuses more, never less.
    const isCurrent = value.replaces === current(value.group);
    const isUnjudgeable = value.replaces >= 0 && value.replaces < beginning;
    if (isCurrent || isUnjudgeable) holders.set(value.group, { fence: offset, claim: value });
  };

  const catchUp = async (): Promise<Result<void, LogFailure>> => {
    const offsets = await log.offsets(GROUPS_TOPIC, PARTITION);
    if (!offsets.ok) return offsets;
    beginning = Math.max(beginning, offsets.value.beginning);
    next = Math.max(next, beginning);
    while (next < offsets.value.end) {
      const records = await log.read(GROUPS_TOPIC, PARTITION, next, 0);
      if (!records.ok) return records;
      if (records.value.length === 0) return ok(undefined);
      records.value.forEach(replay);
    }
    return ok(undefined);
  };

  return {
    catchUp,
    holder: (group) => holders.get(group),
    floor: (group) => Math.max(holders.get(group)?.fence ?? -1, beginning - 1),
    current,
  };
};
