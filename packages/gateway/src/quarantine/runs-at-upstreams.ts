/** Which requests were under way at an upstream when its process ended. */

import type { Clock } from '@plantaindrum/common';
import type { Crash } from './crash-evidence.js';

/** One attempt at an upstream, from its sending on. */
export interface WatchedRun {
  /** The upstream has answered, or refused without running it: it does not die of this request. */
  noteSurvived(): void;
  /** The attempt has ended; where the upstream is not known to have survived, it stays suspect for a while. */
  end(): void;
}

/** A request that was under way in a crash. */
export interface CrashedRun {
  fingerprint: string;
  crash: Crash;
}

/** Attempts by the upstream that they were sent to. */
export interface RunsAtUpstreams {
  begin(fingerprint: string, instance: string): WatchedRun;
  /** Attempts with a request that are under way here. */
  underWay(fingerprint: string): number;
  /** The upstream's process has ended; the requests that were under way there. */
  noteEnded(instance: string): CrashedRun[];
}

/**
 * An attempt without an answer is suspect for this long after its end, in ms: an upstream that crashed is known to
 * have by a refused connection at once, or by its next start some seconds later.
 */
const SUSPECT_MS = 12_000;
/** An upstream's end is told of the attempts that end after it was noticed for this long, in ms. */
const ENDED_MS = 2_000;
/** Attempts without an answer that are remembered; the oldest are forgotten first. */
const MOST_LOST = 1_024;

interface Run {
  fingerprint: string;
  instance: string;
  sentAt: number;
  endedAt: number | undefined;
}

/** Creates the record; `onCrash` is told of attempts that end after their upstream's end was noticed. */
export const createRunsAtUpstreams = (
  clock: Clock,
  onCrash: (run: CrashedRun) => void,
): RunsAtUpstreams => {
  const open = new Set<Run>();
  const lost = new Set<Run>();
  const ended = new Map<string, number>();

  const forgetOld = (): void => {
    const now = clock.monotonic();
    lost.forEach((run) => {
      const isOld = now - (run.endedAt ?? now) > SUSPECT_MS;
      if (isOld || lost.size > MOST_LOST) lost.delete(run);
    });
    ended.forEach((at, instance) => {
      if (now - at > ENDED_MS) ended.delete(instance);
    });
  };

  const toCrash = ({ fingerprint, instance, sentAt, endedAt }: Run, at: number): CrashedRun => ({
    fingerprint,
    crash: { instance, sentAt, endedAt: Math.min(endedAt ?? at, at) },
  });

  return {
    begin: (fingerprint, instance) => {
      const sentAt = clock.monotonic();
      const run: Run = { fingerprint, instance, sentAt, endedAt: undefined };
      open.add(run);
      return {
        noteSurvived: () => {
          open.delete(run);
        },
        end: () => {
          if (!open.delete(run)) return;
          forgetOld();
          run.endedAt = clock.monotonic();
          const endedAt = ended.get(instance);
          if (endedAt !== undefined && endedAt >= sentAt) onCrash(toCrash(run, endedAt));
          else lost.add(run);
        },
      };
    },
    underWay: (fingerprint) => [...open].filter((run) => run.fingerprint === fingerprint).length,
    noteEnded: (instance) => {
      forgetOld();
      const now = clock.monotonic();
      ended.set(instance, now);
      const there = [...open, ...lost].filter((run) => run.instance === instance);
      there.forEach((run) => {
        open.delete(run);
        lost.delete(run);
      });
      return there.map((run) => toCrash(run, now));
    },
  };
};
