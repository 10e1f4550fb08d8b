/** Tracks attempts at upstreams, to find the requests that were in flight when an upstream's process ended. */

import type { Clock } from '@plantaindrum/common';
import type { Crash } from './crash-evidence.js';

/** One attempt at an upstream, from the time it is sent. */
export interface TrackedAttempt {
  /** Records that the upstream has answered, or refused without running the request: it didn't crash on it. */
  recordSurvived(): void;
  /** Records that a pending connection has been established. */
  recordConnected(): void;
  /** Records the first event of the answer. */
  recordFirstEvent(): void;
  /** Ends the attempt; unless the upstream is known to have survived, the attempt is remembered for a while. */
  end(): void;
}

/** A request, as far as it matters for the crashes of upstreams. */
export interface AttemptedRequest {
  fingerprint: string;
  /** Ids of the parts of its prompt that other requests may share. */
  sharedParts: readonly string[];
}

/** Whether an attempt has a connection; without one its upstream can't crash on it. */
export type ConnectionState = 'pending' | 'established';

/** A request that was in flight in a crash. */
export interface CrashedAttempt extends AttemptedRequest {
  /** When the first event of the answer was received (monotonic, ms); undefined if none was. */
  firstEventAt: number | undefined;
  crash: Crash;
}

/** Attempts by the upstream that they were sent to. */
export interface UpstreamAttempts {
  begin(request: AttemptedRequest, instance: string, connection: ConnectionState): TrackedAttempt;
  /** Number of attempts with a request that are in flight at this entry. */
  countInFlight(fingerprint: string): number;
  /** Returns the attempts at an upstream that ended without an answer, of the last seconds. */
  lostAt(instance: string): CrashedAttempt[];
  /** Records the end of an upstream's process; returns the requests that were in flight there. */
  handleUpstreamEnded(instance: string): CrashedAttempt[];
}

/**
 * Time for which an attempt without an answer is remembered after its end, in ms. That the upstream crashed shows at
 * once from a refused connection, or some seconds later from the upstream's next start.
 */
const LOST_ATTEMPT_TTL_MS = 12_000;
/** Time after an upstream's end was noticed in which attempts there that end count as crashed, in ms. */
const ENDED_UPSTREAM_TTL_MS = 2_000;
/** Time from the end of an upstream, which resets its connections, until it is noticed at the latest, in ms. */
const MAX_NOTICE_MS = 1_000;
/** Max attempts without an answer that are remembered; the oldest are dropped first. */
const MAX_LOST = 1_024;

interface Attempt extends AttemptedRequest {
  instance: string;
  connection: ConnectionState;
  sentAt: number;
  firstEventAt: number | undefined;
  endedAt: number | undefined;
}

/** Creates the tracker; `onCrash` is called for attempts that end after their upstream's end was noticed. */
export const createUpstreamAttempts = (
  clock: Clock,
  onCrash: (crashed: CrashedAttempt) => void,
): UpstreamAttempts => {
  const inFlight = new Set<Attempt>();
  const lost = new Set<Attempt>();
  const endedUpstreams = new Map<string, number>();

  const dropExpired = (): void => {
    const now = clock.monotonic();
    lost.forEach((attempt) => {
      const isExpired = now - (attempt.endedAt ?? now) > LOST_ATTEMPT_TTL_MS;
      if (isExpired || lost.size > MAX_LOST) lost.delete(attempt);
    });
    endedUpstreams.forEach((at, instance) => {
      if (now - at > ENDED_UPSTREAM_TTL_MS) endedUpstreams.delete(instance);
    });
  };

  const toCrash = (
    { fingerprint, sharedParts, firstEventAt, instance, sentAt, endedAt }: Attempt,
    at: number,
  ): CrashedAttempt => ({
    ...{ fingerprint, sharedParts, firstEventAt },
    crash: { instance, sentAt, endedAt: Math.min(endedAt ?? at, at) },
  });

  /**
   * When an upstream ended whose end has just been noticed: when the first of its connections was reset. Attempts that
   * were sent later never reached it.
   */
  const findEnd = (instance: string): number => {
    const now = clock.monotonic();
    const resetTimes = [...lost]
      .filter((attempt) => attempt.instance === instance)
      .map((attempt) => attempt.endedAt ?? now)
      .filter((at) => now - at <= MAX_NOTICE_MS);
    return Math.min(now, ...resetTimes);
  };

  return {
    begin: ({ fingerprint, sharedParts }, instance, connection) => {
      const sentAt = clock.monotonic();
      const attempt: Attempt = {
        ...{ fingerprint, sharedParts, instance, connection, sentAt },
        ...{ firstEventAt: undefined, endedAt: undefined },
      };
      inFlight.add(attempt);
      return {
        recordSurvived: () => {
          inFlight.delete(attempt);
        },
        recordConnected: () => {
          attempt.connection = 'established';
          attempt.sentAt = clock.monotonic();
        },
        recordFirstEvent: () => {
          attempt.firstEventAt ??= clock.monotonic();
        },
        end: () => {
          if (!inFlight.delete(attempt) || attempt.connection === 'pending') return;
          dropExpired();
          attempt.endedAt = clock.monotonic();
          const exitedAt = endedUpstreams.get(instance);
          if (exitedAt !== undefined && exitedAt >= attempt.sentAt) {
            onCrash(toCrash(attempt, exitedAt));
          } else lost.add(attempt);
        },
      };
    },
    countInFlight: (fingerprint) =>
      [...inFlight].filter((attempt) => attempt.fingerprint === fingerprint).length,
    lostAt: (instance) => {
      const now = clock.monotonic();
      return [...lost]
        .filter((attempt) => attempt.instance === instance)
        .map((attempt) => toCrash(attempt, now));
    },
    handleUpstreamEnded: (instance) => {
      dropExpired();
      const endedAt = findEnd(instance);
      endedUpstreams.set(instance, endedAt);
      const crashed = [...inFlight, ...lost]
        .filter((attempt) => attempt.instance === instance)
        .filter(({ connection, sentAt }) => connection === 'established' && sentAt <= endedAt);
      crashed.forEach((attempt) => {
        inFlight.delete(attempt);
        lost.delete(attempt);
      });
      return crashed.map((attempt) => toCrash(attempt, endedAt));
    },
  };
};
