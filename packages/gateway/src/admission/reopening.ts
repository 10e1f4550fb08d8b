/**
 * Callers that wait while the group behind a service forms anew.
 *
 * The pattern: after a loss of power all ranks refuse for some 0.7 s, and the callers whose streams were
 * cut are back within that time. They come back once: refused then, they are lost. So a few of those who
 * won't be back wait here; the others are told to come later, or all would begin at once with the uneven
 * map that a group forms with, and those that come new would be late with them. One caller asks now and
 * then, and when it is served those that wait go on, the most urgent and the longest waiting first.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';

/** How a wait ended. */
export type WaitOutcome =
  /** The upstreams answer again. */
  | 'open'
  /** Nobody knows yet; this caller is the one that asks. */
  | 'ask'
  /** Its time to wait is over. */
  | 'too-long'
  /** It may come back later, or as many wait as there are places for. */
  | 'no-room';

/** Services whose upstreams refuse all requests, and who waits for them. */
export interface Reopening {
  /** Most of a service's upstreams have just refused. */
  noteRefusing(service: string): void;
  /** One of them has answered. */
  noteAnswer(service: string): void;
  /** A request ended in a way that says nothing: nobody was there, or another instance. */
  noteNothing(service: string): void;
  isClosed(service: string): boolean;
  /** Waits until the service opens, at most until a time (monotonic, ms). */
  wait(service: string, caller: WaitingCaller): Promise<WaitOutcome>;
}

/** A caller that may wait. */
export interface WaitingCaller {
  /** It has been refused before and won't come back again. */
  isLastTry: boolean;
  until: number;
  /** Rank among callers, 0 first. */
  urgency: number;
  /** Most callers that may wait for the service at this entry. */
  room: number;
}

/** Options of `createReopening`. */
export interface ReopeningOptions {
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Pause between two callers that ask, in ms. A group forms in 600: an entry spends some five attempts
 * of its share of the retries, and callers wait half of this longer than they have to. Ranks refuse
 * within some 5 ms, but the first event of a group that has opened takes up to a second: whoever asks and
 * is not refused until the next would ask has found it open.
 */
const ASK_MS = 120;
/** A refusal says something about the next request for this long, in ms. */
const KNOWN_MS = 1_000;

interface Waiter extends WaitingCaller {
  since: number;
  settle: (outcome: WaitOutcome) => void;
}

interface Closure {
  since: number;
  refusedAt: number;
  askedAt: number;
  /** Somebody asks and has not been refused yet. */
  isAsking: boolean;
  waiters: Waiter[];
  stopTimer: () => void;
}

const byTurn = (a: Waiter, b: Waiter): number => a.urgency - b.urgency || a.since - b.since;

/** Creates the waiting room of one entry. */
export const createReopening = ({ clock, metrics, log }: ReopeningOptions): Reopening => {
  const closures = new Map<string, Closure>();

  const isOver = ({ refusedAt, waiters }: Closure): boolean =>
    waiters.length === 0 && clock.monotonic() - refusedAt > KNOWN_MS;

  const open = (service: string, closure: Closure): void => {
    closures.delete(service);
    closure.stopTimer();
    const waiters = closure.waiters.sort(byTurn);
    const ms = Math.round(clock.monotonic() - closure.since);
    log.event('service-open', { service, ms, waiting: waiters.length });
    waiters.forEach(({ settle }) => settle('open'));
  };

  /** Ends waits that are over and lets the next caller ask. */
  const turn = (service: string, closure: Closure): void => {
    if (closure.isAsking) {
      open(service, closure);
      return;
    }
    const now = clock.monotonic();
    const late = closure.waiters.filter(({ until }) => until <= now);
    const left = closure.waiters.filter(({ until }) => until > now).sort(byTurn);
    const next = left.shift();
    Object.assign(closure, { waiters: left, askedAt: now, isAsking: next !== undefined });
    late.forEach(({ settle }) => settle('too-long'));
    next?.settle('ask');
    if (next) {
      Object.assign(closure, { stopTimer: clock.after(ASK_MS, () => turn(service, closure)) });
    }
  };

  return {
    noteRefusing: (service) => {
      const now = clock.monotonic();
      const known = closures.get(service);
      if (known) Object.assign(known, { refusedAt: now, isAsking: false });
      else {
        log.event('service-closed', { service });
        const times = { since: now, refusedAt: now, askedAt: now };
        const none = { isAsking: false, waiters: [], stopTimer: () => {} };
        closures.set(service, { ...times, ...none });
      }
    },
    noteAnswer: (service) => {
      const closure = closures.get(service);
      if (closure) open(service, closure);
    },
    noteNothing: (service) => {
      const closure = closures.get(service);
      if (closure) closure.isAsking = false;
    },
    isClosed: (service) => {
      const closure = closures.get(service);
      if (closure && isOver(closure)) closures.delete(service);
      return closures.has(service);
    },
    wait: (service, caller) => {
      const closure = closures.get(service);
      const now = clock.monotonic();
      if (!closure) return Promise.resolve('open');
      if (caller.until <= now) return Promise.resolve('too-long');
      const isFull = closure.waiters.length >= caller.room;
      if (!caller.isLastTry || isFull) {
        if (now - closure.askedAt < ASK_MS) return Promise.resolve('no-room');
        if (closure.isAsking) {
          open(service, closure);
          return Promise.resolve('open');
        }
        Object.assign(closure, { askedAt: now, isAsking: true });
        return Promise.resolve('ask');
      }
      metrics.count('gateway_waited_for_group');
      return new Promise((settle) => {
        closure.waiters.push({ ...caller, since: now, settle });
        if (closure.waiters.length > 1) return;
        closure.stopTimer();
        const again = clock.after(ASK_MS, () => turn(service, closure));
        Object.assign(closure, { stopTimer: again });
      });
    },
  };
};
