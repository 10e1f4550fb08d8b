/** All attempts of this agent: each is started at most once, and its outcome is told truthfully. */

import type { Clock, Metrics } from '@plantaindrum/common';
import type { AgentReason, AttemptId, Dispatch, Link, Load } from '@plantaindrum/link';
import type { Attempt } from './attempt.js';
import { createAttempt } from './attempt.js';
import type { AttemptDesk, QueuedAttempt } from './types.js';
import type { RejectedWork, WorkQueue } from '../queue/types.js';
import type { AttemptOutcome } from './answer.js';
import { createForgottenMarks } from './tombstones.js';

const SWEEP_MS = 100;

/** How long the desk remembers, in milliseconds. */
export interface DeskTimes {
  /** How long the outcome of an ended attempt is kept. */
  rememberMs: number;
  /** How long attempts wait for an entry whose link was lost. */
  graceMs: number;
}

/** Times that suit entries which reconnect within a few seconds. */
export const defaultDeskTimes: DeskTimes = { rememberMs: 60_000, graceMs: 5_000 };

/** What the desk needs. */
export interface AttemptDeskOptions {
  queue: WorkQueue<QueuedAttempt>;
  /** Runs an attempt that has left the queue; never rejects. */
  run: (attempt: Attempt, work: Dispatch) => Promise<AttemptOutcome>;
  load: () => Load;
  times: DeskTimes;
  /** Most answers that are kept for entries after the upstream has finished them. */
  mostUndelivered: number;
  clock: Clock;
  metrics: Metrics;
}

/** Creates a desk without attempts. */
export const createAttemptDesk = (options: AttemptDeskOptions): AttemptDesk => {
  const { queue, load, times, clock, metrics } = options;
  const attempts = new Map<AttemptId, Attempt>();
  /** Ended attempts, the oldest first. */
  const ended = new Map<AttemptId, Attempt>();
  /** Ended attempts whose bytes or outcome the entry doesn't have yet. */
  const undelivered = new Set<Attempt>();
  const forgotten = createForgottenMarks();
  let idleWaiters: (() => void)[] = [];
  let closed = false;
  let stopSweep = (): void => {};
  /** Starts what waits, as far as there is room; set below, as the end of one starts the next. */
  let startWaiting = (): void => {};

  const isIdle = (): boolean => {
    const { queued, running } = queue.load();
    return queued === 0 && running === 0 && undelivered.size === 0;
  };

  const noteIdle = (): void => {
    if (!isIdle()) return;
    const waiters = idleWaiters;
    idleWaiters = [];
    waiters.forEach((resume) => resume());
  };

  const noteDelivery = (attempt: Attempt): void => {
    const { answer } = attempt;
    if (attempt.state() !== 'ended' || !answer.delivered() || answer.kept() > 0) return;
    if (!undelivered.delete(attempt)) return;
    startWaiting();
    noteIdle();
  };

  const add = (id: AttemptId, link?: Link, work?: Dispatch): Attempt => {
    const arrivedAt = clock.monotonic();
    const attempt = createAttempt({ id, link, work, arrivedAt, load, onDelivered: noteDelivery });
    attempts.set(id, attempt);
    return attempt;
  };

  const end = (attempt: Attempt, outcome: AttemptOutcome): void => {
    ended.set(attempt.id, attempt);
    undelivered.add(attempt);
    const reason = outcome.outcome === 'answered' ? 'none' : outcome.reason;
    metrics.count('attempts_ended', { outcome: outcome.outcome, reason });
    attempt.end(outcome, clock.monotonic());
    noteDelivery(attempt);
  };

  const notRun = (attempt: Attempt, reason: AgentReason, retryAfterMs = 0): void =>
    end(attempt, { outcome: 'not-run', reason, retryAfterMs });

  /** A record that keeps the attempt from ever being started, should its dispatch still come. */
  const putTombstone = (id: AttemptId, reason: AgentReason): Attempt => {
    metrics.count('attempt_tombstones', { reason });
    const attempt = add(id);
    notRun(attempt, reason);
    undelivered.delete(attempt);
    return attempt;
  };

  const rejectAll = (rejected: RejectedWork<QueuedAttempt>[]): void =>
    rejected.forEach(({ item, reason, retryAfterMs }) =>
      notRun(item.attempt, reason, retryAfterMs),
    );

  const runOne = async (attempt: Attempt, work: Dispatch): Promise<void> => {
    attempt.leaveQueue();
    metrics.record('queue_wait_ms', clock.monotonic() - attempt.arrivedAt, { class: work.class });
    const outcome = await options.run(attempt, work);
    queue.finished(attempt.id);
    end(attempt, outcome);
    startWaiting();
    noteIdle();
  };

  startWaiting = (): void => {
    // Entries that don't take their answers must not fill this process's memory with them.
    while (undelivered.size < options.mostUndelivered) {
      const next = queue.take();
      if (!next) return;
      const { attempt } = next;
      const work = attempt.work();
      if (work) void runOne(attempt, work);
    }
  };

  const queueItem = (attempt: Attempt, work: Dispatch): QueuedAttempt => ({
    id: attempt.id,
    organisation: work.organisation,
    class: work.class,
    lane: work.priority,
    cost: 1,
    deadline: clock.monotonic() + work.budgetMs,
    attempt,
  });

  const refuseKnown = (known: Attempt, link: Link): void => {
    if (known.state() !== 'ended' || known.started()) {
      metrics.count('dispatch_refused', { reason: 'duplicate' });
      return;
    }
    metrics.count('dispatch_refused', { reason: 'tombstone' });
    known.answer.attach(link, { head: false, bytes: 0 });
  };

  const dispatch = (frame: Dispatch, link: Link): void => {
    const known = attempts.get(frame.id);
    if (known) {
      refuseKnown(known, link);
      return;
    }
    const attempt = add(frame.id, link, frame);
    if (forgotten.mayBeForgotten(frame.id)) {
      metrics.count('dispatch_refused', { reason: 'outcome-forgotten' });
      end(attempt, { outcome: 'unknown', reason: 'outcome-forgotten' });
      return;
    }
    rejectAll(queue.offer(queueItem(attempt, frame)).rejected);
    startWaiting();
  };

  /** Work that may not be repeated runs to its end once started, so that its outcome is known. */
  const cancelRunning = (attempt: Attempt): void => {
    if (attempt.started() && attempt.work()?.mayNotRepeat) {
      metrics.count('cancels_ignored', { reason: 'may-not-repeat' });
      return;
    }
    attempt.abort.abort();
  };

  const cancelKnown = (attempt: Attempt): void => {
    if (attempt.state() === 'queued') {
      queue.cancel(attempt.id);
      notRun(attempt, 'cancelled');
      return;
    }
    if (attempt.state() === 'running') cancelRunning(attempt);
    attempt.answer.forgetBytes();
    noteDelivery(attempt);
  };

  const cancel = (id: AttemptId): void => {
    const attempt = attempts.get(id);
    if (attempt) cancelKnown(attempt);
    else if (!forgotten.mayBeForgotten(id)) putTombstone(id, 'cancelled');
  };

  const answerUnknown = (id: AttemptId, link: Link, reason: AgentReason): void => {
    link.send({ t: 'unknown', id, reason, load: load() });
  };

  const query: AttemptDesk['query'] = (id, holds, link) => {
    metrics.count('attempt_queries');
    const known = attempts.get(id);
    if (!known && forgotten.mayBeForgotten(id)) {
      answerUnknown(id, link, 'outcome-forgotten');
      return;
    }
    const attempt = known ?? putTombstone(id, 'never-arrived');
    if (attempt.state() !== 'ended') {
      link.send({ t: 'in-progress', id, started: attempt.started() });
    }
    if (attempt.answer.attach(link, holds)) return;
    // The bytes between what the entry holds and what is kept are gone: no whole answer any more.
    answerUnknown(id, link, 'upstream-broke-off');
    cancelKnown(attempt);
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

  const giveUp = (attempt: Attempt): void => {
    if (attempt.answer.link()) return;
    metrics.count('attempts_abandoned', { state: attempt.state() });
    cancelKnown(attempt);
    if (undelivered.delete(attempt)) noteIdle();
  };

  const linkLost = (link: Link): void => {
    const orphans = [...attempts.values()].filter((attempt) => attempt.answer.link() === link);
    orphans.forEach((attempt) => attempt.answer.detach());
    if (orphans.length > 0) clock.after(times.graceMs, () => orphans.forEach(giveUp));
  };

  const forgetOld = (): void => {
    const before = clock.monotonic() - times.rememberMs;
    for (const attempt of ended.values()) {
      if (attempt.endedAt() > before) return;
      ended.delete(attempt.id);
      attempts.delete(attempt.id);
      undelivered.delete(attempt);
      forgotten.forget(attempt.id);
    }
  };

  const sweep = (): void => {
    if (closed) return;
    rejectAll(queue.sweep());
    forgetOld();
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
    leave: () => rejectAll(queue.leave()),
    idle: () =>
      new Promise((resolve) => {
        idleWaiters.push(resolve);
        noteIdle();
      }),
    counts: () => {
      const { queued, running } = queue.load();
      return { queued, running, undelivered: undelivered.size };
    },
    close: () => {
      closed = true;
      stopSweep();
    },
  };
};
