/** All attempts of this agent: each is started at most once, and its outcome is told truthfully. */

import type { Clock, Metrics } from '@plantaindrum/common';
import type { AgentReason, AttemptId, Dispatch, Link, Load } from '@plantaindrum/link';
import type { AgentQueue, AttemptLedger, Rejected } from '@plantaindrum/requests';
import type { AttemptOutcome } from './answer.js';
import type { Attempt } from './attempt.js';
import { createAttempt } from './attempt.js';
import { createEndedAttempts } from './ended-attempts.js';
import type { EndedLimits } from './ended-attempts.js';
import type { AttemptDesk, AttemptRunner, QueuedAttempt } from './types.js';
import { costOf, runsAtMostOnce } from './work.js';

const SWEEP_MS = 100;
const TURNED_AWAY_RETRY_MS = 1_000;

/** Bounds on what the desk keeps. */
export interface DeskLimits extends EndedLimits {
  /** Most attempts that run at once. */
  concurrency: number;
  /** How long attempts wait for an entry whose link was lost, in milliseconds. */
  graceMs: number;
  /** Most bytes of request bodies that are held at once. */
  heldBytes: number;
  /** Most answers that are kept for entries after the upstream has finished them. */
  mostUndelivered: number;
}

/** What the desk needs. */
export interface AttemptDeskOptions {
  queue: AgentQueue<QueuedAttempt>;
  ledger: AttemptLedger;
  run: AttemptRunner;
  load: () => Load;
  /** Whether new work of this entry is turned away for now. */
  isClosedTo: (entry: Link) => boolean;
  limits: DeskLimits;
  clock: Clock;
  metrics: Metrics;
}

/** Creates a desk without attempts. */
export const createAttemptDesk = (options: AttemptDeskOptions): AttemptDesk => {
  const { queue, ledger, load, limits, clock, metrics } = options;
  const attempts = new Map<AttemptId, Attempt>();
  const ended = createEndedAttempts(clock, limits);
  let idleWaiters: (() => void)[] = [];
  let heldBytes = 0;
  let closed = false;
  let stopSweep = (): void => {};
  /** Starts what waits, as far as there is room; set below, as the end of one starts the next. */
  let startWaiting = (): void => {};

  const isIdle = (): boolean => {
    const { queued, running } = queue.load();
    return queued === 0 && running === 0 && ended.undelivered() === 0;
  };

  const noteIdle = (): void => {
    if (!isIdle()) return;
    const waiters = idleWaiters;
    idleWaiters = [];
    waiters.forEach((resume) => resume());
  };

  const noteDelivery = (attempt: Attempt): void => {
    if (attempt.state() !== 'ended' || !ended.noteDelivery(attempt)) return;
    startWaiting();
    noteIdle();
  };

  const add = (id: AttemptId, link: Link, work: Dispatch): Attempt => {
    const arrivedAt = clock.monotonic();
    const attempt = createAttempt({ id, link, work, arrivedAt, load, onDelivered: noteDelivery });
    attempts.set(id, attempt);
    heldBytes += work.body.length;
    return attempt;
  };

  const countEnd = (outcome: AttemptOutcome): void => {
    const reason = outcome.outcome === 'answered' ? 'none' : outcome.reason;
    metrics.count('attempts_ended', { outcome: outcome.outcome, reason });
  };

  const end = (attempt: Attempt, outcome: AttemptOutcome): void => {
    countEnd(outcome);
    ended.add(attempt);
    heldBytes -= attempt.work()?.body.length ?? 0;
    attempt.end(outcome, clock.monotonic());
    noteDelivery(attempt);
  };

  const refuse = ({ item, reason, retryAfterMs }: Rejected<QueuedAttempt>): void => {
    ledger.refuse(item.attempt.id);
    end(item.attempt, { outcome: 'not-run', reason, retryAfterMs });
  };

  const sayNotRun = (id: AttemptId, link: Link, reason: AgentReason): void => {
    link.send({ t: 'not-run', id, reason, retryAfterMs: 0, load: load() });
  };

  const sayUnknown = (id: AttemptId, link: Link, reason: AgentReason): void => {
    link.send({ t: 'unknown', id, reason, load: load() });
  };

  const closeInLedger = (id: AttemptId, { outcome }: AttemptOutcome): void => {
    if (outcome === 'not-run') {
      if (!ledger.refuse(id)) ledger.endUnsent(id);
    } else ledger.end(id, outcome);
  };

  const runOne = async (attempt: Attempt, work: Dispatch): Promise<void> => {
    const { id } = attempt;
    attempt.leaveQueue();
    metrics.record('queue_wait_ms', clock.monotonic() - attempt.arrivedAt, { class: work.class });
    const outcome = await options.run(attempt, work, () => ledger.start(id));
    closeInLedger(id, outcome);
    queue.finished(id);
    end(attempt, outcome);
    startWaiting();
    noteIdle();
  };

  // Entries that don't take their answers must not fill this process's memory with them.
  const hasRoom = (): boolean =>
    queue.load().running < limits.concurrency && ended.undelivered() < limits.mostUndelivered;

  startWaiting = () => {
    while (hasRoom()) {
      const next = queue.take();
      if (!next) return;
      const work = next.attempt.work();
      if (work) void runOne(next.attempt, work);
    }
  };

  const enqueue = (attempt: Attempt, work: Dispatch): void => {
    const offer = queue.offer({
      id: attempt.id,
      organisation: work.organisation,
      class: work.class,
      lane: work.priority,
      cost: costOf(work),
      deadline: clock.monotonic() + work.budgetMs,
      attempt,
    });
    offer.rejected.forEach(refuse);
    startWaiting();
  };

  const turnAway = (attempt: Attempt, reason: AgentReason): void => {
    ledger.refuse(attempt.id);
    end(attempt, { outcome: 'not-run', reason, retryAfterMs: TURNED_AWAY_RETRY_MS });
  };

  const admit = (attempt: Attempt, work: Dispatch, link: Link): void => {
    if (options.isClosedTo(link)) turnAway(attempt, 'leaving');
    else if (heldBytes > limits.heldBytes) turnAway(attempt, 'queue-full');
    else enqueue(attempt, work);
  };

  const dispatch = (frame: Dispatch, link: Link): void => {
    const decision = ledger.dispatch(frame.id);
    if (decision === 'accept') {
      admit(add(frame.id, link, frame), frame, link);
      return;
    }
    metrics.count('dispatch_refused', { reason: decision });
    if (decision === 'refuse-tombstone') sayNotRun(frame.id, link, 'cancelled');
    if (decision === 'refuse-forgotten') sayUnknown(frame.id, link, 'outcome-forgotten');
  };

  /** Work that runs at most once goes on to its end once started, so that its outcome is known. */
  const stopUpstream = (attempt: Attempt): void => {
    const work = attempt.work();
    if (work && runsAtMostOnce(work)) metrics.count('cancels_ignored');
    else attempt.abort.abort();
  };

  const withdraw = (attempt: Attempt): void => {
    if (queue.cancel(attempt.id)) {
      end(attempt, { outcome: 'not-run', reason: 'cancelled', retryAfterMs: 0 });
    } else attempt.abort.abort();
  };

  /** Carries out a cancel; true when the attempt is proved not to run, also when it is unknown. */
  const cancelById = (id: AttemptId): boolean => {
    const decision = ledger.cancel(id);
    const attempt = attempts.get(id);
    if (attempt && decision === 'not-run') withdraw(attempt);
    if (attempt && decision === 'stop-upstream') stopUpstream(attempt);
    attempt?.answer.forgetBytes();
    if (attempt) noteDelivery(attempt);
    return decision === 'not-run';
  };

  const cancel = (id: AttemptId, link: Link): void => {
    const isKnown = attempts.has(id);
    if (!cancelById(id) || isKnown) return;
    metrics.count('attempt_tombstones', { reason: 'cancelled' });
    sayNotRun(id, link, 'cancelled');
  };

  const queryForgotten = (id: AttemptId, link: Link, isNotRun: boolean): void => {
    if (!isNotRun) {
      sayUnknown(id, link, 'outcome-forgotten');
      return;
    }
    metrics.count('attempt_tombstones', { reason: 'never-arrived' });
    sayNotRun(id, link, 'never-arrived');
  };

  const query: AttemptDesk['query'] = (id, holds, link) => {
    metrics.count('attempt_queries');
    const decision = ledger.query(id);
    const attempt = attempts.get(id);
    if (!attempt) {
      queryForgotten(id, link, decision === 'not-run');
      return;
    }
    if (attempt.state() !== 'ended') {
      link.send({ t: 'in-progress', id, started: attempt.started() });
    }
    if (attempt.answer.attach(link, holds)) return;
    // The bytes between what the entry holds and what is kept are gone: no whole answer any more.
    sayUnknown(id, link, 'upstream-broke-off');
    cancelById(id);
  };

  const credit: AttemptDesk['credit'] = (id, bytes, link) => {
    const attempt = attempts.get(id);
    if (!attempt || attempt.answer.link() !== link) {
      metrics.count('frames_for_closed_attempt', { frame: 'credit' });
      return;
    }
    attempt.answer.credit(bytes);
    noteDelivery(attempt);
  };

  /** The entry has not come back: nobody waits for the attempt any more. */
  const giveUp = (attempt: Attempt): void => {
    if (attempt.answer.link()) return;
    const wasDelivered = attempt.state() === 'ended' && !ended.abandon(attempt);
    attempt.abandon();
    if (!wasDelivered) metrics.count('attempts_abandoned', { state: attempt.state() });
    cancelById(attempt.id);
    noteIdle();
  };

  const linkLost = (link: Link): void => {
    const orphans = [...attempts.values()].filter((attempt) => attempt.answer.link() === link);
    orphans.forEach((attempt) => attempt.answer.detach());
    if (orphans.length > 0) clock.after(limits.graceMs, () => orphans.forEach(giveUp));
  };

  const sweep = (): void => {
    if (closed) return;
    queue.sweep().forEach(refuse);
    ended.expire((attempt) => attempts.delete(attempt.id));
    startWaiting();
    noteIdle();
    stopSweep = clock.after(SWEEP_MS, sweep);
  };

  sweep();

  return {
    dispatch,
    cancel,
    query,
    credit,
    linkLost,
    leave: () => queue.leave().forEach(refuse),
    idle: () =>
      new Promise((resolve) => {
        idleWaiters.push(resolve);
        noteIdle();
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
