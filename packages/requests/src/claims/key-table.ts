import type { ClaimLogRecord } from './records.js';
import type { ClaimId, ClaimOutcome } from './types.js';

/** The claim that holds a key. */
export interface Holder {
  id: ClaimId;
  body: string;
  /** Set once its call was answered. */
  outcome?: ClaimOutcome;
}

/** One key as replay has left it. */
interface KeyState {
  holder: Holder | undefined;
  /** Claims that lost or were released: they never win, also when appended again. */
  dead?: Set<ClaimId>;
  appliedAt: number;
}

/** What replay says of one claim. */
export type ClaimStanding = 'unseen' | 'first' | 'dead';

/** The claims of one partition, replayed in the order of offsets. */
export interface KeyTable {
  apply(record: ClaimLogRecord, now: number): void;
  holder(key: string): Holder | undefined;
  standing(key: string, id: ClaimId): ClaimStanding;
  /** Forgets keys last touched before `time`. */
  prune(time: number): void;
  clear(): void;
  size(): number;
}

/**
 * Creates an empty table. Every reader replays the same records by the same rule, so all agree on
 * the first claim of a key without talking to each other: a claim wins when nothing holds its key
 * at its offset, and whatever is appended later can't change that. Only the winner itself can
 * give the key up, by a release.
 */
export const createKeyTable = (): KeyTable => {
  /** In the order of the last record. */
  const keys = new Map<string, KeyState>();

  const touch = (key: string, now: number): KeyState => {
    const state = keys.get(key) ?? { holder: undefined, appliedAt: now };
    state.appliedAt = now;
    keys.delete(key);
    keys.set(key, state);
    return state;
  };

  const bury = (state: KeyState, id: ClaimId) => {
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
        if (holder) bury(state, record.id);
        else state.holder = { id: record.id, body: record.body };
        return;
      }
      if (record.kind === 'finish') {
        if (isHolder) holder.outcome ??= record.outcome;
        return;
      }
      if (isHolder && holder.outcome) return;
      // A release can come before its claim, when the claim's append was delayed: remembered, it
      // keeps that claim from holding the key for nobody.
      bury(state, record.id);
      if (isHolder) state.holder = undefined;
    },
    holder: (key) => keys.get(key)?.holder,
    standing: (key, id) => {
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
