/** One attempt at an upstream, as the quarantine observes it. */

import type { Clock } from '@plantaindrum/common';
import type { TrackedAttempt } from './upstream-attempts.js';

/** An attempt; reports to the quarantine how it ends. */
export interface MonitoredAttempt {
  /** A pending connection has been established. */
  recordConnected(): void;
  /** The upstream refused without running the request. */
  recordNotRun(): void;
  /** An event of the stream has been received. */
  recordEvent(): void;
  /** The complete answer has been received; `status` is undefined for a stream. */
  complete(status?: number): void;
  /** Whether the upstream is known not to have crashed on the request. */
  hasSurvived(): boolean;
  /** The attempt has ended, for whatever reason. */
  end(): void;
}

/** Options of `createMonitoredAttempt`. */
export interface MonitoredAttemptOptions {
  attempt: TrackedAttempt;
  /** Called once, when the upstream is known not to crash when it begins an answer on the prompt. */
  onBegun: () => void;
  /** Called once, when the request is known not to crash the upstream. */
  onSuccess: () => void;
  onEnd: () => void;
  clock: Clock;
}

/**
 * Time after its first event from which a stream counts as a success, in ms. An upstream may crash on the first token
 * that it makes; one that keeps sending events for this long doesn't crash on the request.
 */
const SUCCESS_AFTER_MS = 500;
/**
 * Time after its first event from which an attempt proves that its upstream doesn't crash on the prompt, in ms. The
 * first event may still arrive from an upstream that crashes when it begins an answer.
 */
export const BEGUN_AFTER_MS = 250;
/** Statuses from which an answer is no success, and from which it doesn't show that the request was run. */
const FIRST_FAILURE_STATUS = 300;
const FIRST_ERROR_STATUS = 500;

/** Creates the `MonitoredAttempt` of an attempt that has been sent. */
export const createMonitoredAttempt = (options: MonitoredAttemptOptions): MonitoredAttempt => {
  const { attempt, clock } = options;
  let firstEventAt: number | undefined;
  let hasSurvived = false;
  let hasSucceeded = false;
  let hasBegun = false;

  const markBegun = (): void => {
    if (!hasBegun) options.onBegun();
    hasBegun = true;
  };
  const markSurvived = (): void => {
    hasSurvived = true;
    attempt.recordSurvived();
  };
  const markSucceeded = (): void => {
    markSurvived();
    if (!hasSucceeded) options.onSuccess();
    hasSucceeded = true;
  };

  return {
    recordConnected: attempt.recordConnected,
    recordNotRun: markSurvived,
    recordEvent: () => {
      const now = clock.monotonic();
      firstEventAt ??= now;
      attempt.recordFirstEvent();
      if (now - firstEventAt >= BEGUN_AFTER_MS) markBegun();
      if (!hasSucceeded && now - firstEventAt >= SUCCESS_AFTER_MS) markSucceeded();
    },
    complete: (status) => {
      // An error or an empty stream doesn't show that the upstream begins an answer on this prompt.
      const isBegun =
        status === undefined ? firstEventAt !== undefined : status < FIRST_FAILURE_STATUS;
      if (isBegun) markBegun();
      if (status === undefined || status < FIRST_ERROR_STATUS) markSucceeded();
      else markSurvived();
    },
    hasSurvived: () => hasSurvived,
    end: () => {
      attempt.end();
      options.onEnd();
    },
  };
};
