import type { Clock, Metrics } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';
import { createBatchingLog } from './batching-log.js';
import type { Holder } from './key-table.js';
import type { PartitionReplay } from './partition-replay.js';
import { createPartitionReplay } from './partition-replay.js';
import type { ClaimRecord } from './records.js';
import { CLAIM_PARTITIONS, CLAIMS_TOPIC, hashKey, keyDate, partitionOf } from './records.js';
import { createTailAppender } from './tail-appender.js';
import type { ClaimId, ClaimOutcome, ClaimRequest, Claims, ClaimVerdict } from './types.js';

/** Settings of an agent's claims. */
export interface ClaimsOptions {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Random for each start of the process; claims of an earlier instance are never taken up. */
  instance: string;
  /** Number of partitions, the same on every node. */
  partitions?: number;
  /** How long a dated key may be used; must be well below the retention, in milliseconds. */
  windowMs?: number;
  /** How long the log keeps a record, in milliseconds. */
  retentionMs?: number;
  /** How far clocks may differ, in milliseconds. */
  clockSkewMs?: number;
  /** Keys held in memory; above it the partition unused for longest is dropped and read anew. */
  mostKeys?: number;
  /** How long a claim waits for others to share its append, in milliseconds. */
  lingerMs?: number;
}

/** A claim that was the first and whose call has not ended. */
interface ActiveClaim {
  key: string;
  partition: number;
}

/** What is tried for one request. */
interface Attempt extends ActiveClaim {
  request: ClaimRequest;
  record: ClaimRecord;
  replay: PartitionReplay;
  /** Monotonic time by which the verdict is due, in milliseconds. */
  deadline: number;
}

type Unsettled = Extract<ClaimVerdict, { verdict: 'log-down' | 'not-confirmed' }>;

const DEFAULT_WINDOW_MS = 10 * 60_000;
const DEFAULT_RETENTION_MS = 60 * 60_000;
const DEFAULT_CLOCK_SKEW_MS = 60_000;
const DEFAULT_LINGER_MS = 2;
const DEFAULT_MOST_KEYS = 100_000;
const MOST_IN_BATCH = 256;
/** Pause before another append when the answer to one was lost, in milliseconds. */
const REAPPEND_PAUSE_MS = 50;
/** A log that fails this often in a row is given up on. */
const MOST_TRIES = 3;
/**
 * How long the record of a call's end is waited for, in milliseconds. The log takes one in some ten; one
 * whose append was lost is appended again after 200. Longer, an outage of the log would hold up answers.
 */
const DEFAULT_END_WAIT_MS = 500;
/** A larger answer is not kept with its key, in bytes of base64. */
const MOST_KEPT_BODY = 1_024;

const logDown = (err: LogFailure): Unsettled => ({
  verdict: 'log-down',
  retryAfterMs: Math.max(1, err.retryAfterMs),
});

const notConfirmed = (err: LogFailure): Unsettled => ({
  verdict: 'not-confirmed',
  retryAfterMs: Math.max(1, err.retryAfterMs),
});

const LATE: LogFailure = { kind: 'unknown', retryAfterMs: 1_000 };

const withoutLargeBody = ({ body, ...rest }: ClaimOutcome): ClaimOutcome =>
  body !== undefined && body.length <= MOST_KEPT_BODY ? { ...rest, body } : rest;

/**
 * Creates an agent's claims. A call runs only when replay shows its claim as the first for the key:
 * no lease and no clock decides between two agents, so one that slept and wakes does no harm.
 */
export const createClaims = (options: ClaimsOptions): Claims => {
  const { clock, metrics, instance, partitions = CLAIM_PARTITIONS } = options;
  const { windowMs = DEFAULT_WINDOW_MS, retentionMs = DEFAULT_RETENTION_MS } = options;
  const { clockSkewMs = DEFAULT_CLOCK_SKEW_MS, lingerMs = DEFAULT_LINGER_MS } = options;
  const log = createBatchingLog(options.log, { clock, lingerMs, most: MOST_IN_BATCH });
  const tail = createTailAppender({ clock, log, lifeMs: windowMs });
  const mostKeys = options.mostKeys ?? DEFAULT_MOST_KEYS;
  /** In the order of last use. */
  const replays = new Map<number, PartitionReplay>();
  const active = new Map<ClaimId, ActiveClaim>();
  let serial = 0;

  const heldKeys = () => [...replays.values()].reduce((sum, { table }) => sum + table.size(), 0);

  /** What is dropped is read again from the log when a key of its partition comes. */
  const dropUnused = () => {
    while (replays.size > 1 && heldKeys() > mostKeys) {
      const [oldest] = replays.keys();
      replays.delete(oldest!);
    }
  };

  const replayOf = (partition: number): PartitionReplay => {
    const replay =
      replays.get(partition) ?? createPartitionReplay({ clock, log, partition, retentionMs });
    replays.delete(partition);
    replays.set(partition, replay);
    dropUnused();
    return replay;
  };

  /** Whether a dated key is outside its window; an undated key's age is not known. */
  const isExpired = (key: string): boolean => {
    const date = keyDate(key);
    if (date === undefined) return false;
    const age = clock.now() - date;
    // A key from the future would stay in its window for longer than the log remembers it.
    return age > windowMs || age < -clockSkewMs;
  };

  const begin = (request: ClaimRequest): Attempt => {
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
    tail.add(partition, { kind: 'release', id, key });

  const giveBack = ({ partition, record }: Attempt) => {
    void release(partition, record.id, record.key);
  };

  const pause = (ms: number) =>
    new Promise<void>((resolve) => {
      clock.after(ms, resolve);
    });

  const heldBy = (holder: Holder, attempt: Attempt): ClaimVerdict => {
    if (holder.body !== attempt.record.body) return { verdict: 'key-reused' };
    if (holder.outcome) return { verdict: 'known', outcome: holder.outcome };
    return { verdict: 'held', runningHere: active.has(holder.id) };
  };

  /** Answers a repeat without an append, if the key is held already. */
  const earlierHolder = async (attempt: Attempt): Promise<ClaimVerdict | undefined> => {
    const { replay, key } = attempt;
    if (!replay.table.holder(key)) return undefined;
    // What stands in the table may have been released since.
    const caughtUp = await replay.catchUp();
    const holder = replay.table.holder(key);
    return caughtUp.ok && holder ? heldBy(holder, attempt) : undefined;
  };

  /** Replays until the claim itself is seen; `unseen` when its append did not land. */
  const replayOwn = async (attempt: Attempt, offset: number | undefined) => {
    const { replay, key, record } = attempt;
    const caughtUp = offset === undefined ? await replay.catchUp() : await replay.catchUpTo(offset);
    return caughtUp.ok ? replay.table.standing(key, record.id) : caughtUp.err;
  };

  const verdictOf = (attempt: Attempt, standing: 'first' | 'dead'): ClaimVerdict | undefined => {
    const { replay, key, record, partition, request } = attempt;
    // Checked after the replay, not before: an agent that slept in between could otherwise find its
    // claim first only because the log has dropped the earlier one.
    if (isExpired(request.key)) {
      if (standing === 'first') giveBack(attempt);
      return { verdict: 'key-expired' };
    }
    if (standing === 'first') {
      active.set(record.id, { key, partition });
      return { verdict: 'first', claim: record.id };
    }
    const holder = replay.table.holder(key);
    return holder && heldBy(holder, attempt);
  };

  /** Whether a claim that the log was too busy for may wait for another try. */
  const mayWait = (err: LogFailure, tries: number, deadline: number): boolean =>
    err.kind === 'throttled' &&
    tries < MOST_TRIES &&
    err.retryAfterMs < (deadline - clock.monotonic()) / 2;

  /** Appends the claim until replay shows it. Undefined: the key has become free; claim anew. */
  const settle = async (
    attempt: Attempt,
    isLate: () => boolean,
  ): Promise<ClaimVerdict | undefined> => {
    let mayStand = false;
    for (let tries = 1; !isLate(); tries += 1) {
      const appended = await log.append(CLAIMS_TOPIC, attempt.partition, [attempt.record]);
      // The caller has had its answer: whatever landed is given back, and never runs.
      if (isLate()) break;
      if (!appended.ok && appended.err.kind !== 'unknown' && !mayStand) {
        if (!mayWait(appended.err, tries, attempt.deadline)) return logDown(appended.err);
        await pause(appended.err.retryAfterMs);
        continue;
      }
      mayStand = true;
      const standing = await replayOwn(attempt, appended.ok ? appended.value[0] : undefined);
      if (isLate()) break;
      if (standing === 'first' || standing === 'dead') return verdictOf(attempt, standing);
      if (standing !== 'unseen' && tries >= MOST_TRIES) return notConfirmed(standing);
      await pause(REAPPEND_PAUSE_MS);
    }
    return notConfirmed(LATE);
  };

  /** Settles within the budget; what is not settled by then is released and never runs. */
  const settleInTime = async (attempt: Attempt): Promise<ClaimVerdict | undefined> => {
    let isLate = false;
    let cancelTimer = () => {};
    const timeout = new Promise<ClaimVerdict>((resolve) => {
      cancelTimer = clock.after(Math.max(0, attempt.deadline - clock.monotonic()), () => {
        isLate = true;
        resolve(notConfirmed(LATE));
      });
    });
    const verdict = await Promise.race([settle(attempt, () => isLate), timeout]);
    cancelTimer();
    if (verdict?.verdict === 'not-confirmed') giveBack(attempt);
    return verdict;
  };

  const decide = async (request: ClaimRequest): Promise<ClaimVerdict> => {
    if (isExpired(request.key)) return { verdict: 'key-expired' };
    const deadline = clock.monotonic() + request.budgetMs;
    for (;;) {
      const attempt = { ...begin(request), deadline };
      const earlier = await earlierHolder(attempt);
      if (earlier) return earlier;
      const verdict = await settleInTime(attempt);
      if (verdict) return verdict;
    }
  };

  const end = (claim: ClaimId): ActiveClaim | undefined => {
    const ended = active.get(claim);
    active.delete(claim);
    return ended;
  };

  return {
    claim: async (request) => {
      const verdict = await decide(request);
      metrics.count('claims', { verdict: verdict.verdict });
      return verdict;
    },
    finish: async (claim, outcome, waitMs = DEFAULT_END_WAIT_MS) => {
      const ended = end(claim);
      if (!ended) return;
      const { key, partition } = ended;
      const record = {
        kind: 'finish',
        id: claim,
        key,
        outcome: withoutLargeBody(outcome),
      } as const;
      await Promise.race([tail.add(partition, record), pause(waitMs)]);
    },
    release: async (claim, waitMs = DEFAULT_END_WAIT_MS) => {
      const ended = end(claim);
      if (!ended) return;
      await Promise.race([release(ended.partition, claim, ended.key), pause(waitMs)]);
    },
    abandon: (claim) => {
      end(claim);
    },
    flush: (ms) => tail.flush(ms),
    close: () => tail.close(),
  };
};
