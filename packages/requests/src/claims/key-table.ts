import type { ClaimLogRecord } from './records.js';
import type { ClaimId, ClaimOutcome } from './types.js';

/** The claim that holds a key. */
export interface Holder {
  id: ClaimId;
  body: string;
  /** Outcome of the call, once answered. */
  outcome?: ClaimOutcome;
}

/** State of one key after replay. */
interface KeyState {
  holder: Holder | undefined;
  /** Claims that lost or were released; they can't win, even when appended again. */
  dead?: Set<ClaimId>;
  appliedAt: number;
}

/** State of one claim after replay. */
export type ClaimState = 'unseen' | 'first' | 'dead';

/** Claims of one partition, replayed in the order of offsets. */
export interface KeyTable {
  /** Applies the next record; `now` is monotonic time in milliseconds. */
  apply(record: ClaimLogRecord, now: number): void;
  holder(key: string): Holder | undefined;
  claimState(key: string, id: ClaimId): ClaimState;
  /** Drops keys whose last record was applied before `time`. */
  prune(time: number): void;
  clear(): void;
  size(): number;
}

/**
 * Creates an empty table. All agents replay the same records by the same rule, so they agree on the
 * first claim of a key without communicating: a claim wins when no claim holds its key at its
 * offset, and later records can't change that. Only a release by the winner frees the key.
 */
export const createKeyTable = (): KeyTable => {
  /** Ordered by the time of the last record. */
  const keys = new Map<string, KeyState>();

  const touch = (key: string, now: number): KeyState => {
    const state = keys.get(key) ?? { holder: undefined, appliedAt: now };
    state.appliedAt = now;
    keys.delete(key);
    keys.set(key, state);
    return state;
  };

  const markDead = (state: KeyState, id: ClaimId) => {
    const dead = state.dead ?? new Set();
    dead.add(id);
    Object.assign(state, { dead });
  };

  return {
    apply: (record, now) => {
      const state = touch(record.key, now);
      const { holder, dead } = state;
      const isHolder = holder?.id === record.id;
      if (record.kind === 'claim') {
        if (isHolder || dead?.has(record.id)) return;
        if (holder) markDead(state, record.id);
        else state.holder = { id: record.id, body: record.body };
        return;
      }
      if (record.kind === 'finish') {
        if (isHolder) holder.outcome ??= record.outcome;
        return;
      }
      if (isHolder && holder.outcome) return;
      // When the append of a claim was delayed, its release can come first. The claim is marked
      // dead, or it would hold the key although its call never runs.
      markDead(state, record.id);
      if (isHolder) state.holder = undefined;
    },
    holder: (key) => keys.get(key)?.holder,
    claimState: (key, id) => {
      const state = keys.get(key);
      if (state?.holder?.id === id) return 'first';
      return state?.dead?.has(id) ? 'dead' : 'unseen';
    },
    prune: (time) => {
      for (const [key, { appliedAt }] of keys) {
        if (appliedAt >= time) return;
        keys.delete(key);
      }
    },
    clear: () => keys.clear(),
    size: () => keys.size,
  };
};
