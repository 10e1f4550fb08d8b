/**
 * Manages all attempts of this agent: starts each at most once and reports "not run" only if the
 * upstream has not been sent the request.
 */

import type { Clock, Metrics } from '@plantaindrum/common';
import type { AgentReason, AttemptId, Dispatch, Link, Load } from '@plantaindrum/link';
import type { AgentQueue, AttemptStateRegistry, Rejected } from '@plantaindrum/requests';
import type { AttemptOutcome } from './answer.js';
import type { Attempt } from './attempt.js';
import { createAttempt } from './attempt.js';
import { createEndedAttempts } from './ended-attempts.js';
import type { EndedAttemptLimits } from './ended-attempts.js';
import type { AttemptManager, AttemptRunner, QueuedAttempt } from './types.js';
import { expectedCost, runsAtMostOnce } from './dispatch.js';

const SWEEP_INTERVAL_MS = 100;
const REFUSED_RETRY_DELAY_MS = 1_000;

/** Limits of the attempt manager. */
export interface AttemptLimits extends EndedAttemptLimits {
  /** Maximum number of attempts that run at once. */
  concurrency: number;
  /** How long attempts wait for their entry to reconnect after a lost link, in milliseconds. */
  graceMs: number;
  /** Maximum total size of the request bodies in memory, in bytes. */
  maxHeldBytes: number;
  /** Maximum number of ended attempts whose answers have not been delivered to their entries. */
  maxUndelivered: number;
}

/** Options of `createAttemptManager`. */
export interface AttemptManagerOptions {
  queue: AgentQueue<QueuedAttempt>;
  registry: AttemptStateRegistry;
  run: AttemptRunner;
  load: () => Load;
  /** Whether new requests of this entry are currently refused. */
  refusesEntry: (entry: Link) => boolean;
  limits: AttemptLimits;
  clock: Clock;
  metrics: Metrics;
}

/** Creates an attempt manager without attempts. */
export const createAttemptManager = (options: AttemptManagerOptions): AttemptManager => {
  const { queue, registry, load, limits, clock, metrics } = options;
  const attempts = new Map<AttemptId, Attempt>();
  const ended = createEndedAttempts(clock, limits);
  let idleWaiters: (() => void)[] = [];
  let heldBytes = 0;
  let closed = false;
  let stopSweep = (): void => {};
  /**
   * Starts queued attempts while there is capacity. Assigned below, as it and `runDequeued` call each
   * other.
   */
  let startQueued = (): void => {};

  const isIdle = (): boolean => {
    const { queued, running } = queue.load();
    return queued === 0 && running === 0 && ended.undelivered() === 0;
  };

  const notifyIfIdle = (): void => {
    if (!isIdle()) return;
    const waiters = idleWaiters;
    idleWaiters = [];
    waiters.forEach((resume) => resume());
  };

  const handleDelivery = (attempt: Attempt): void => {
    if (attempt.state() !== 'ended' || !ended.markDelivered(attempt)) return;
    startQueued();
    notifyIfIdle();
  };

  const addAttempt = (id: AttemptId, link: Link, dispatch: Dispatch): Attempt => {
    const arrivedAt = clock.monotonic();
    const attempt = createAttempt({
      id,
      link,
      dispatch,
      arrivedAt,
      load,
      onDelivered: handleDelivery,
    });
    attempts.set(id, attempt);
    heldBytes += dispatch.body.length;
    return attempt;
  };

  const countOutcome = (outcome: AttemptOutcome): void => {
    const reason = outcome.outcome === 'answered' ? 'none' : outcome.reason;
    metrics.count('attempts_ended', { outcome: outcome.outcome, reason });
  };

  const endAttempt = (attempt: Attempt, outcome: AttemptOutcome): void => {
    countOutcome(outcome);
    ended.add(attempt);
    heldBytes -= attempt.dispatch()?.body.length ?? 0;
    attempt.end(outcome, clock.monotonic());
    handleDelivery(attempt);
  };

  const endRejected = ({ item, reason, retryAfterMs }: Rejected<QueuedAttempt>): void => {
    registry.refuse(item.attempt.id);
    endAttempt(item.attempt, { outcome: 'not-run', reason, retryAfterMs });
  };

  const sendNotRun = (id: AttemptId, link: Link, reason: AgentReason): void => {
    link.send({ t: 'not-run', id, reason, retryAfterMs: 0, load: load() });
  };

  const sendUnknown = (id: AttemptId, link: Link, reason: AgentReason): void => {
    link.send({ t: 'unknown', id, reason, load: load() });
  };

  const closeInRegistry = (id: AttemptId, { outcome }: AttemptOutcome): void => {
    if (outcome === 'not-run') {
      if (!registry.refuse(id)) registry.endUnsent(id);
    } else registry.end(id, outcome);
  };

  const runDequeued = async (attempt: Attempt, dispatch: Dispatch): Promise<void> => {
    const { id } = attempt;
    attempt.dequeue();
    metrics.record('queue_wait_ms', clock.monotonic() - attempt.arrivedAt, {
      class: dispatch.class,
    });
    const outcome = await options.run(attempt, dispatch, () => registry.start(id));
    closeInRegistry(id, outcome);
    queue.recordEnd(id);
    endAttempt(attempt, outcome);
    startQueued();
    notifyIfIdle();
  };

  // Entries that read their answers slowly must not fill the memory of this process.
  const hasCapacity = (): boolean =>
    queue.load().running < limits.concurrency && ended.undelivered() < limits.maxUndelivered;

  startQueued = () => {
    while (hasCapacity()) {
      const next = queue.take();
      if (!next) return;
      const dispatch = next.attempt.dispatch();
      if (dispatch) void runDequeued(next.attempt, dispatch);
    }
  };

  const enqueue = (attempt: Attempt, dispatch: Dispatch): void => {
    const offer = queue.offer({
      id: attempt.id,
      organisation: dispatch.organisation,
      class: dispatch.class,
      lane: dispatch.priority,
      cost: expectedCost(dispatch),
      deadline: clock.monotonic() + dispatch.budgetMs,
      attempt,
    });
    offer.rejected.forEach(endRejected);
    startQueued();
  };

  const refuseAttempt = (attempt: Attempt, reason: AgentReason): void => {
    registry.refuse(attempt.id);
    endAttempt(attempt, { outcome: 'not-run', reason, retryAfterMs: REFUSED_RETRY_DELAY_MS });
  };

  const admit = (attempt: Attempt, dispatch: Dispatch, link: Link): void => {
    if (options.refusesEntry(link)) refuseAttempt(attempt, 'leaving');
    else if (heldBytes > limits.maxHeldBytes) refuseAttempt(attempt, 'queue-full');
    else enqueue(attempt, dispatch);
  };

  const handleDispatch = (frame: Dispatch, link: Link): void => {
    const decision = registry.dispatch(frame.id);
    if (decision === 'accept') {
      admit(addAttempt(frame.id, link, frame), frame, link);
      return;
    }
    metrics.count('dispatch_refused', { reason: decision });
    if (decision === 'refuse-tombstone') sendNotRun(frame.id, link, 'cancelled');
    if (decision === 'refuse-forgotten') sendUnknown(frame.id, link, 'outcome-forgotten');
  };

  /** A started request that may run at most once is not aborted, so that its outcome stays known. */
  const abortUnlessAtMostOnce = (attempt: Attempt): void => {
    const dispatch = attempt.dispatch();
    if (dispatch && runsAtMostOnce(dispatch)) metrics.count('cancels_ignored');
    else attempt.abort.abort();
  };

  const cancelUnstarted = (attempt: Attempt): void => {
    if (queue.cancel(attempt.id)) {
      endAttempt(attempt, { outcome: 'not-run', reason: 'cancelled', retryAfterMs: 0 });
    } else attempt.abort.abort();
  };

  /** Cancels an attempt; true if it is certain not to run. An unknown id is marked so that it never starts. */
  const cancelById = (id: AttemptId): boolean => {
    const decision = registry.cancel(id);
    const attempt = attempts.get(id);
    if (attempt && decision === 'not-run') cancelUnstarted(attempt);
    if (attempt && decision === 'stop-upstream') abortUnlessAtMostOnce(attempt);
    attempt?.answer.dropBytes();
    if (attempt) handleDelivery(attempt);
    return decision === 'not-run';
  };

  const handleCancel = (id: AttemptId, link: Link): void => {
    const isKnown = attempts.has(id);
    if (!cancelById(id) || isKnown) return;
    metrics.count('attempt_tombstones', { reason: 'cancelled' });
    sendNotRun(id, link, 'cancelled');
  };

  const replyToUnknownId = (id: AttemptId, link: Link, isNotRun: boolean): void => {
    if (!isNotRun) {
      sendUnknown(id, link, 'outcome-forgotten');
      return;
    }
    metrics.count('attempt_tombstones', { reason: 'never-arrived' });
    sendNotRun(id, link, 'never-arrived');
  };

  const handleQuery: AttemptManager['query'] = (id, received, link) => {
    metrics.count('attempt_queries');
    const decision = registry.query(id);
    const attempt = attempts.get(id);
    if (!attempt) {
      replyToUnknownId(id, link, decision === 'not-run');
      return;
    }
    if (attempt.state() !== 'ended') {
      link.send({ t: 'in-progress', id, started: attempt.started() });
    }
    if (attempt.answer.attach(link, received)) return;
    // Bytes between the entry's position and the buffered ones were dropped, so the answer can't be completed.
    sendUnknown(id, link, 'upstream-broke-off');
    cancelById(id);
  };

  const handleCredit: AttemptManager['credit'] = (id, bytes, link) => {
    const attempt = attempts.get(id);
    if (!attempt || attempt.answer.link() !== link) {
      metrics.count('frames_for_closed_attempt', { frame: 'credit' });
      return;
    }
    attempt.answer.credit(bytes);
    handleDelivery(attempt);
  };

  /** Abandons an attempt whose entry has not reconnected in time. */
  const abandonAttempt = (attempt: Attempt): void => {
    if (attempt.answer.link()) return;
    const wasDelivered = attempt.state() === 'ended' && !ended.abandon(attempt);
    attempt.abandon();
    if (!wasDelivered) metrics.count('attempts_abandoned', { state: attempt.state() });
    cancelById(attempt.id);
    notifyIfIdle();
  };

  const handleLinkLost = (link: Link): void => {
    const orphans = [...attempts.values()].filter((attempt) => attempt.answer.link() === link);
    orphans.forEach((attempt) => attempt.answer.detach());
    if (orphans.length > 0) clock.after(limits.graceMs, () => orphans.forEach(abandonAttempt));
  };

  const sweep = (): void => {
    if (closed) return;
    queue.sweep().forEach(endRejected);
    ended.expire((attempt) => attempts.delete(attempt.id));
    startQueued();
    notifyIfIdle();
    stopSweep = clock.after(SWEEP_INTERVAL_MS, sweep);
  };

  sweep();

  return {
    dispatch: handleDispatch,
    cancel: handleCancel,
    query: handleQuery,
    credit: handleCredit,
    linkLost: handleLinkLost,
    drain: () => queue.shutDown().forEach(endRejected),
    waitUntilIdle: () =>
      new Promise((resolve) => {
        idleWaiters.push(resolve);
        notifyIfIdle();
      }),
    counts: () => {
      const { queued, running } = queue.load();
      return { queued, running, undelivered: ended.undelivered() };
    },
    close: () => {
      closed = true;
      stopSweep();
    },
  };
};
