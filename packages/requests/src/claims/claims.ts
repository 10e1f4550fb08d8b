import type { Clock, Metrics } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';
import { createBatchingLog } from './batching-log.js';
import type { Holder } from './key-table.js';
import type { PartitionReplay } from './partition-replay.js';
import { createPartitionReplay } from './partition-replay.js';
import type { ClaimRecord } from './records.js';
import { CLAIM_PARTITIONS, CLAIMS_TOPIC, hashKey, keyDate, partitionOf } from './records.js';
import { createBackgroundAppender } from './background-appender.js';
import type { ClaimId, ClaimOutcome, ClaimRequest, Claims, ClaimVerdict } from './types.js';

/** Settings of an agent's claims. */
export interface ClaimsOptions {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Random id of this process; claims of an earlier process are not resumed. */
  instance: string;
  /** Number of partitions, the same at every agent. */
  partitions?: number;
  /** Largest age of a dated key, in milliseconds; must be well below the retention. */
  windowMs?: number;
  /** Retention of the log, in milliseconds. */
  retentionMs?: number;
  /** Largest difference between clocks, in milliseconds. */
  clockSkewMs?: number;
  /** Largest number of keys in memory; above it, the least recently used partition is evicted. */
  maxKeys?: number;
  /** Time that a claim waits for others to share its append, in milliseconds. */
  lingerMs?: number;
}

/** A claim with the verdict `first` whose call has not ended. */
interface ActiveClaim {
  key: string;
  partition: number;
}

/** One attempt to claim the key of a request. */
interface ClaimAttempt extends ActiveClaim {
  request: ClaimRequest;
  record: ClaimRecord;
  replay: PartitionReplay;
  /** Monotonic time by which the verdict is due, in milliseconds. */
  deadline: number;
}

type UnconfirmedVerdict = Extract<ClaimVerdict, { verdict: 'log-down' | 'not-confirmed' }>;

const DEFAULT_WINDOW_MS = 10 * 60_000;
const DEFAULT_RETENTION_MS = 60 * 60_000;
const DEFAULT_CLOCK_SKEW_MS = 60_000;
const DEFAULT_LINGER_MS = 2;
const DEFAULT_MAX_KEYS = 100_000;
const MAX_BATCH_VALUES = 256;
/** Delay before an append is repeated after its answer was lost, in milliseconds. */
const REAPPEND_DELAY_MS = 50;
/** Number of failed tries after which a claim is refused. */
const MAX_TRIES = 3;
/**
 * Default limit on the wait for the record of a call's end, in milliseconds. An append takes about
 * 10 ms, and a lost one is repeated after 200 ms. With a longer wait, an outage of the log would
 * delay answers.
 */
const DEFAULT_END_WAIT_MS = 500;
/** Largest body that is stored with its key, in characters of base64. */
const MAX_STORED_BODY_LENGTH = 1_024;

const logDown = (err: LogFailure): UnconfirmedVerdict => ({
  verdict: 'log-down',
  retryAfterMs: Math.max(1, err.retryAfterMs),
});

const notConfirmed = (err: LogFailure): UnconfirmedVerdict => ({
  verdict: 'not-confirmed',
  retryAfterMs: Math.max(1, err.retryAfterMs),
});

const TIMED_OUT: LogFailure = { kind: 'unknown', retryAfterMs: 1_000 };

const withoutLargeBody = ({ body, ...rest }: ClaimOutcome): ClaimOutcome =>
  body !== undefined && body.length <= MAX_STORED_BODY_LENGTH ? { ...rest, body } : rest;

/**
 * Creates an agent's claims. A call runs only when replay shows its claim as the first for the key.
 * No lease or clock decides between two agents, so an agent that was suspended and resumes is safe.
 */
export const createClaims = (options: ClaimsOptions): Claims => {
  const { clock, metrics, instance, partitions = CLAIM_PARTITIONS } = options;
  const { windowMs = DEFAULT_WINDOW_MS, retentionMs = DEFAULT_RETENTION_MS } = options;
  const { clockSkewMs = DEFAULT_CLOCK_SKEW_MS, lingerMs = DEFAULT_LINGER_MS } = options;
  const log = createBatchingLog(options.log, { clock, lingerMs, maxValues: MAX_BATCH_VALUES });
  const background = createBackgroundAppender({ clock, log, maxAgeMs: windowMs });
  const maxKeys = options.maxKeys ?? DEFAULT_MAX_KEYS;
  /** Ordered by last use. */
  const replays = new Map<number, PartitionReplay>();
  const active = new Map<ClaimId, ActiveClaim>();
  let serial = 0;

  const keysInMemory = () =>
    [...replays.values()].reduce((sum, { table }) => sum + table.size(), 0);

  /** Evicts the least recently used partitions; they are read again from the log when needed. */
  const evictUnused = () => {
    while (replays.size > 1 && keysInMemory() > maxKeys) {
      const [oldest] = replays.keys();
      replays.delete(oldest!);
    }
  };

  const replayOf = (partition: number): PartitionReplay => {
    const replay =
      replays.get(partition) ?? createPartitionReplay({ clock, log, partition, retentionMs });
    replays.delete(partition);
    replays.set(partition, replay);
    evictUnused();
    return replay;
  };

  /** Whether a dated key is outside the window; undated keys don't expire. */
  const isExpired = (key: string): boolean => {
    const date = keyDate(key);
    if (date === undefined) return false;
    const ageMs = clock.now() - date;
    // A key dated in the future would stay in the window for longer than the log keeps its claim.
    return ageMs > windowMs || ageMs < -clockSkewMs;
  };

  const createAttempt = (request: ClaimRequest): ClaimAttempt => {
    const key = hashKey(request.organisation, request.key);
    const partition = partitionOf(key, partitions);
    serial += 1;
    return {
      request,
      record: { kind: 'claim', id: `${instance}:${serial}`, key, body: request.bodyHash },
      key,
      partition,
      replay: replayOf(partition),
      deadline: clock.monotonic() + request.budgetMs,
    };
  };

  const release = (partition: number, id: ClaimId, key: string): Promise<void> =>
    background.add(partition, { kind: 'release', id, key });

  const releaseAttempt = ({ partition, record }: ClaimAttempt) => {
    void release(partition, record.id, record.key);
  };

  const delay = (ms: number) =>
    new Promise<void>((resolve) => {
      clock.after(ms, resolve);
    });

  const verdictForHeldKey = (holder: Holder, attempt: ClaimAttempt): ClaimVerdict => {
    if (holder.body !== attempt.record.body) return { verdict: 'key-reused' };
    if (holder.outcome) return { verdict: 'known', outcome: holder.outcome };
    return { verdict: 'held', runningHere: active.has(holder.id) };
  };

  /** Returns the verdict without an append, if the key is held already. */
  const verdictOfEarlierClaim = async (
    attempt: ClaimAttempt,
  ): Promise<ClaimVerdict | undefined> => {
    const { replay, key } = attempt;
    if (!replay.table.holder(key)) return undefined;
    // The claim in the table may have been released since.
    const caughtUp = await replay.catchUp();
    const holder = replay.table.holder(key);
    return caughtUp.ok && holder ? verdictForHeldKey(holder, attempt) : undefined;
  };

  /** Replays up to the claim itself; `unseen` when its append had no effect. */
  const replayUntilOwnClaim = async (attempt: ClaimAttempt, offset: number | undefined) => {
    const { replay, key, record } = attempt;
    const caughtUp = offset === undefined ? await replay.catchUp() : await replay.catchUpTo(offset);
    return caughtUp.ok ? replay.table.claimState(key, record.id) : caughtUp.err;
  };

  const verdictOf = (attempt: ClaimAttempt, state: 'first' | 'dead'): ClaimVerdict | undefined => {
    const { replay, key, record, partition, request } = attempt;
    // Checked after the replay: an agent that was suspended in between could otherwise find its
    // claim to be the first only because the log has dropped the earlier one.
    if (isExpired(request.key)) {
      if (state === 'first') releaseAttempt(attempt);
      return { verdict: 'key-expired' };
    }
    if (state === 'first') {
      active.set(record.id, { key, partition });
      return { verdict: 'first', claim: record.id };
    }
    const holder = replay.table.holder(key);
    return holder && verdictForHeldKey(holder, attempt);
  };

  /** Whether a claim that the log throttled may be retried. */
  const mayRetry = (err: LogFailure, tries: number, deadline: number): boolean =>
    err.kind === 'throttled' &&
    tries < MAX_TRIES &&
    err.retryAfterMs < (deadline - clock.monotonic()) / 2;

  /** Appends the claim until replay shows it; undefined when the key was released meanwhile. */
  const confirm = async (
    attempt: ClaimAttempt,
    isTimedOut: () => boolean,
  ): Promise<ClaimVerdict | undefined> => {
    let mayBeAppended = false;
    for (let tries = 1; !isTimedOut(); tries += 1) {
      const appended = await log.append(CLAIMS_TOPIC, attempt.partition, [attempt.record]);
      // The request was already answered: the claim is released and its call doesn't run.
      if (isTimedOut()) break;
      if (!appended.ok && appended.err.kind !== 'unknown' && !mayBeAppended) {
        if (!mayRetry(appended.err, tries, attempt.deadline)) return logDown(appended.err);
        await delay(appended.err.retryAfterMs);
        continue;
      }
      mayBeAppended = true;
      const state = await replayUntilOwnClaim(attempt, appended.ok ? appended.value[0] : undefined);
      if (isTimedOut()) break;
      if (state === 'first' || state === 'dead') return verdictOf(attempt, state);
      if (state !== 'unseen' && tries >= MAX_TRIES) return notConfirmed(state);
      await delay(REAPPEND_DELAY_MS);
    }
    return notConfirmed(TIMED_OUT);
  };

  /** Confirms the claim within the budget; otherwise it is released and its call doesn't run. */
  const confirmWithinBudget = async (attempt: ClaimAttempt): Promise<ClaimVerdict | undefined> => {
    let isTimedOut = false;
    let cancelTimer = () => {};
    const timeout = new Promise<ClaimVerdict>((resolve) => {
      cancelTimer = clock.after(Math.max(0, attempt.deadline - clock.monotonic()), () => {
        isTimedOut = true;
        resolve(notConfirmed(TIMED_OUT));
      });
    });
    const verdict = await Promise.race([confirm(attempt, () => isTimedOut), timeout]);
    cancelTimer();
    if (verdict?.verdict === 'not-confirmed') releaseAttempt(attempt);
    return verdict;
  };

  const decide = async (request: ClaimRequest): Promise<ClaimVerdict> => {
    if (isExpired(request.key)) return { verdict: 'key-expired' };
    const deadline = clock.monotonic() + request.budgetMs;
    for (;;) {
      const attempt = { ...createAttempt(request), deadline };
      const earlier = await verdictOfEarlierClaim(attempt);
      if (earlier) return earlier;
      const verdict = await confirmWithinBudget(attempt);
      if (verdict) return verdict;
    }
  };

  const removeActive = (claim: ClaimId): ActiveClaim | undefined => {
    const activeClaim = active.get(claim);
    active.delete(claim);
    return activeClaim;
  };

  return {
    claim: async (request) => {
      const verdict = await decide(request);
      metrics.count('claims', { verdict: verdict.verdict });
      return verdict;
    },
    finish: async (claim, outcome, waitMs = DEFAULT_END_WAIT_MS) => {
      const activeClaim = removeActive(claim);
      if (!activeClaim) return;
      const { key, partition } = activeClaim;
      const record = {
        kind: 'finish',
        id: claim,
        key,
        outcome: withoutLargeBody(outcome),
      } as const;
      await Promise.race([background.add(partition, record), delay(waitMs)]);
    },
    release: async (claim, waitMs = DEFAULT_END_WAIT_MS) => {
      const activeClaim = removeActive(claim);
      if (!activeClaim) return;
      await Promise.race([release(activeClaim.partition, claim, activeClaim.key), delay(waitMs)]);
    },
    abandon: (claim) => {
      removeActive(claim);
    },
    flush: (ms) => background.flush(ms),
    close: () => background.close(),
  };
};
