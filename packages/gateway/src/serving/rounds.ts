/** The attempts of one request: what they proved, whether another may follow, what ends them. */

import { sleep } from '@plantaindrum/common';
import type { Upstream } from '../upstreams/upstream.js';
import { startAttempt } from './attempt.js';
import type { Attempt, AttemptAnswer } from './attempt.js';
import { awaitOpen } from './await-open.js';
import { onCallerGone } from './caller-gone.js';
import { endToEnd } from './deliver.js';
import { createFinalAnswer } from './final-answer.js';
import type { Progress, WholeAnswer } from './final-answer.js';
import type { CallerRequest, RefusalReason, ServingDeps } from './types.js';

/** How one attempt ended. */
export type RoundOutcome =
  | WholeAnswer
  /** The whole stream has been passed on. */
  | { outcome: 'streamed' }
  | { outcome: 'not-run'; why: string; wasSent: boolean }
  | { outcome: 'unknown'; why: string };

/** What one attempt does once its answer's head is there. */
export type TakeAnswer = (attempt: Attempt, answer: AttemptAnswer) => Promise<RoundOutcome>;

/**
 * Takes a request away from an upstream that holds up others, to be sent to another one; false where
 * no further attempt may be made or nobody else would be quicker.
 */
export type MoveOn = () => boolean;

/** The attempts of one request. */
export interface Rounds {
  /** Event after which the next attempt resumes. */
  resumeAfter: number | undefined;
  /** Makes attempts until an answer is given, no further one may follow, or the caller has gone. */
  run(take: TakeAnswer): Promise<void>;
  /** Time left for the caller, in milliseconds. */
  left(): number;
  /** Attempts that were sent to an upstream. */
  sent(): number;
}

/** How attempts of one kind of request differ. */
export interface RoundsOptions {
  /** A request that may have run can be sent again. */
  mayRepeat: boolean;
  /** Time that the next attempt is given, in milliseconds; undefined for all that the caller has. */
  patience: (rounds: Rounds) => number | undefined;
  /** Pause before another attempt, in milliseconds. */
  pauseMs: () => number;
  /** Told of each attempt, for watching it; the result ends the watch. */
  watch: (attempt: Attempt, sentAt: number, moveOn: MoveOn) => () => void;
}

/** Largest answer that is held in memory, in bytes. */
const MAX_ANSWER_BYTES = 8_388_608;
/** Attempts proved not to have run that a request may have besides those that ran. */
const MAX_NOT_RUN = 3;

/** Reads an answer that is no stream. */
export const readWhole: TakeAnswer = async (attempt, answer) => {
  const body = await attempt.readBody(answer.res, MAX_ANSWER_BYTES);
  if (body === undefined) return { outcome: 'unknown', why: 'answer-broke-off' };
  const { headers } = answer.res;
  const isFramed = ['content-length', 'transfer-encoding'].some((name) => name in headers);
  return { outcome: 'whole', status: answer.status, headers: endToEnd(answer.res), body, isFramed };
};

const isUpstreamFault = (outcome: RoundOutcome): boolean =>
  outcome.outcome === 'unknown' || (outcome.outcome === 'whole' && outcome.status >= 500);

/** Creates the attempts of one request. */
export const createRounds = (
  request: CallerRequest,
  options: RoundsOptions,
  deps: ServingDeps,
): Rounds => {
  const { route, res, service } = request;
  const { clock, directory, budget, reopening, quarantine, metrics, log } = deps;
  const { mayRepeat } = options;
  const tried = new Set<string>();
  let current: Attempt | undefined;
  let isGone = false;
  let isLate = false;
  let isMoving = false;
  let asks = 0;
  let endedAt = request.arrivedAt;
  const progress: Progress = {
    runs: 0,
    notRuns: 0,
    unsent: 0,
    lastWhy: '',
    failedAnswer: undefined,
  };
  const { answered, deliver, giveUp, held } = createFinalAnswer(request, progress, deps);

  const moveOn: MoveOn = () => {
    const isLast = progress.runs + 1 >= route.maxAttempts;
    if (!current || !mayRepeat || isMoving || isGone || isLate || isLast) return false;
    const next = directory.choose(service, tried);
    if (!next || directory.isHoldingUp(next) || !budget.take(service)) return false;
    isMoving = true;
    current.abort();
    return true;
  };

  /** What an attempt says of a service that is closed, or closes it. */
  const noteClosure = (hasAnswered: boolean, upstream: Upstream): void => {
    if (hasAnswered) reopening.noteAnswer(service);
    else if (!upstream.isRefusing()) reopening.noteNothing(service);
    else if (reopening.isClosed(service) || directory.isRefusing(service)) {
      reopening.noteRefusing(service);
    }
  };

  const attemptAt = async (
    rounds: Rounds,
    upstream: Upstream,
    take: TakeAnswer,
  ): Promise<RoundOutcome> => {
    tried.add(upstream.record.instance);
    const attempt = startAttempt(request, upstream, rounds.resumeAfter, deps);
    current = attempt;
    const sentAt = clock.monotonic();
    const patienceMs = options.patience(rounds);
    const stopTimer =
      patienceMs === undefined ? () => {} : clock.after(patienceMs, () => attempt.abort());
    const stopWatch = options.watch(attempt, sentAt, moveOn);
    const head = await attempt.head;
    const outcome = head.outcome === 'answered' ? await take(attempt, head) : head;
    stopTimer();
    stopWatch();
    if (outcome.outcome === 'whole' || outcome.outcome === 'streamed') attempt.watched.noteWhole();
    const isGivenUp = isGone || isLate || isMoving;
    const isLost = !isGivenUp && !attempt.watched.hasSurvived();
    attempt.end();
    // A suspect is not sent on before it is known whether it has crashed this one, too.
    const endCheck = isLost ? deps.checkEnd(upstream.record) : undefined;
    if (quarantine.isSuspect(request.fingerprint)) await endCheck;
    endedAt = clock.monotonic();
    noteClosure(head.outcome === 'answered', upstream);
    if (head.outcome === 'answered' && !isGivenUp) {
      if (isUpstreamFault(outcome)) upstream.noteFailure('failed');
      else upstream.noteSuccess();
    }
    log.event('attempt', {
      id: request.id,
      upstream: upstream.record.instance,
      load: upstream.load(),
      rateLimit: upstream.rate.perSecond(),
      outcome: outcome.outcome,
      why: 'why' in outcome ? outcome.why : undefined,
      status: outcome.outcome === 'whole' ? outcome.status : undefined,
      resumeAfter: rounds.resumeAfter,
      ms: held(),
    });
    return outcome;
  };

  const note = (outcome: RoundOutcome): void => {
    if (outcome.outcome === 'not-run') {
      progress.notRuns += 1;
      if (reopening.isClosed(service)) asks += 1;
      if (!outcome.wasSent) progress.unsent += 1;
    } else {
      progress.runs += 1;
    }
    if (outcome.outcome === 'whole') progress.failedAnswer = outcome;
    if ('why' in outcome) progress.lastWhy = outcome.why;
  };

  /** Why no further attempt is made; undefined when one may be. */
  const obstacle = (): RefusalReason | undefined => {
    if (isLate) return 'deadline';
    if (progress.runs > 0 && !mayRepeat) return 'upstream-failed';
    const away = quarantine.refusal(request.fingerprint);
    if (away) return away.reason;
    const sends = progress.runs + progress.notRuns - progress.unsent;
    const isSpent = mayRepeat ? progress.runs >= route.maxAttempts : sends >= route.maxAttempts;
    // Asking whether a group is there again is bounded by time and by the budget.
    if (isSpent || progress.notRuns - asks > MAX_NOT_RUN) return 'attempts-spent';
    // A move has been paid for before its attempt was given up.
    if (sends > 0 && !isMoving && !budget.take(service)) return 'retry-budget-spent';
    return undefined;
  };

  const isFinal = (outcome: RoundOutcome): boolean =>
    outcome.outcome === 'streamed' ||
    (outcome.outcome === 'whole' && (outcome.status < 500 || !mayRepeat) && !res.headersSent);

  const noteCallerGone = (): void => {
    const { runs, notRuns } = progress;
    log.event('caller-gone', { id: request.id, runs, notRuns, ms: held() });
  };

  /** The caller left, or its time was over, while no attempt was under way. */
  const endBetweenAttempts = (): void => {
    if (isLate && !isGone) giveUp('deadline');
    else noteCallerGone();
  };

  /** Before its first attempt a request has waited already, ahead of its admission. */
  const isOpen = async (): Promise<boolean> =>
    progress.runs + progress.notRuns === 0 ||
    awaitOpen(request, res.headersSent ? endedAt : request.arrivedAt, deps);

  const runAll = async (rounds: Rounds, take: TakeAnswer): Promise<void> => {
    for (;;) {
      const mayGoOn = await isOpen();
      if (isGone || isLate) {
        endBetweenAttempts();
        return;
      }
      if (!mayGoOn) {
        giveUp('upstreams-refusing');
        return;
      }
      const upstream = directory.choose(service, tried);
      if (!upstream) {
        giveUp(directory.obstacle(service, tried));
        return;
      }
      const outcome = await attemptAt(rounds, upstream, take);
      if (isGone) {
        noteCallerGone();
        return;
      }
      if (isFinal(outcome)) {
        if (outcome.outcome === 'whole') deliver(outcome);
        else {
          res.end();
          answered(undefined);
        }
        return;
      }
      note(outcome);
      const reason = obstacle();
      if (reason) {
        giveUp(reason);
        return;
      }
      metrics.count('gateway_retries', { reason: isMoving ? 'moved' : outcome.outcome });
      await sleep(clock, isMoving ? 0 : options.pauseMs());
      isMoving = false;
    }
  };

  const rounds: Rounds = {
    resumeAfter: request.fields.lastEventId,
    left: () => request.deadlineAt - clock.monotonic(),
    sent: () => progress.runs + progress.notRuns - progress.unsent,
    run: async (take) => {
      onCallerGone(res, () => {
        isGone = true;
        current?.abort();
      });
      const stopDeadline = clock.after(rounds.left(), () => {
        isLate = true;
        current?.abort();
      });
      await runAll(rounds, take);
      stopDeadline();
    },
  };
  return rounds;
};
