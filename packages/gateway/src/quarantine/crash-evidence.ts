/**
 * Which requests crash the servers that run them, from crashes in which each was under way.
 *
 * The pattern: a request ends its upstream's process, its caller or another one sends it again, and it ends the
 * next. In an expert group each such crash stops all ranks. One crash proves nothing, as all that run at an upstream
 * when it dies were under way; nor do many at once, as a popular request runs at ten upstreams that lose power
 * together. What tells them apart is that the request was sent again after a crash, crashed again, and never ran
 * well in between.
 */

import type { Clock } from '@plantaindrum/common';

/** An upstream's process that ended while a request was under way there (times monotonic, ms). */
export interface Crash {
  /** The start of the upstream that ended. */
  instance: string;
  sentAt: number;
  endedAt: number;
}

/** How a request may be treated. */
export type Verdict =
  | 'clear'
  /** It was under way in a crash and is not known to have run well: one attempt at a time. */
  | 'suspect'
  /** It is not sent to any upstream. */
  | 'quarantined';

/** What is known of one request. */
export interface CaseFile {
  crashes: readonly Crash[];
  /** When its last quarantine began and ends (monotonic, ms); undefined where it had none. */
  quarantine: Quarantine | undefined;
}

/** Times of a quarantine (monotonic, ms). */
export interface Quarantine {
  since: number;
  until: number;
}

/** What a new word changed. */
export interface Change {
  verdict: Verdict;
  /** The word was news, and others should hear of it. */
  isNews: boolean;
}

/** Crashes by the fingerprint of the request. */
export interface CrashEvidence {
  /** A request was under way in a crash. */
  noteCrash(fingerprint: string, crash: Crash): Change;
  /** A request ran well at this time, or an operator says that it does; true when that took evidence away. */
  noteSound(fingerprint: string, at: number): boolean;
  /** It is in quarantine between these times, as another entry or a record says. */
  noteQuarantine(fingerprint: string, since: number, until: number): Change;
  verdict(fingerprint: string): Verdict;
  caseOf(fingerprint: string): CaseFile | undefined;
  /** Fingerprints that any evidence is held of. */
  all(): string[];
}

/** Crashes of so many upstreams make a quarantine, in at least two sends one after the other. */
const CRASHES = 3;
const ROUNDS = 2;
/** A crash says nothing any more after this long, in ms. */
const EVIDENCE_MS = 600_000;
/** How long a quarantine lasts, in ms; one more crash after it begins the next. */
export const QUARANTINE_MS = 600_000;
/** Requests of which evidence is held, and crashes of one; the oldest are forgotten first. */
export const MOST_CASES = 1_024;
const MOST_CRASHES = 8;
/** Requests that are remembered as having run well. */
const MOST_SOUND = 4_096;

interface OpenCase {
  crashes: Crash[];
  quarantine: Quarantine | undefined;
}

/** Sends one after the other: each begins when the upstream of the one before has ended. */
export const roundsOf = (crashes: readonly Crash[]): number => {
  let rounds = 0;
  let endedAt = -Infinity;
  [...crashes]
    .sort((a, b) => a.endedAt - b.endedAt)
    .forEach((crash) => {
      if (crash.sentAt < endedAt) return;
      rounds += 1;
      endedAt = crash.endedAt;
    });
  return rounds;
};

/** Keeps a map's newest entries; the oldest go first. */
const keepNewest = (map: Map<string, unknown>, most: number): void => {
  const [oldest] = map.keys();
  if (map.size > most && oldest !== undefined) map.delete(oldest);
};

/** Creates the record. */
export const createCrashEvidence = (clock: Clock): CrashEvidence => {
  const cases = new Map<string, OpenCase>();
  const soundAt = new Map<string, number>();

  const isOver = ({ quarantine }: OpenCase): boolean =>
    quarantine === undefined || clock.monotonic() - quarantine.until > EVIDENCE_MS;

  const current = (fingerprint: string): OpenCase | undefined => {
    const open = cases.get(fingerprint);
    if (!open) return undefined;
    const now = clock.monotonic();
    open.crashes = open.crashes.filter(({ endedAt }) => now - endedAt < EVIDENCE_MS);
    if (open.crashes.length === 0 && isOver(open)) cases.delete(fingerprint);
    return cases.get(fingerprint);
  };

  const openCase = (fingerprint: string): OpenCase => {
    const open = current(fingerprint) ?? { crashes: [], quarantine: undefined };
    cases.delete(fingerprint);
    cases.set(fingerprint, open);
    keepNewest(cases, MOST_CASES);
    return open;
  };

  const lastSound = (fingerprint: string): number => soundAt.get(fingerprint) ?? -Infinity;

  const isProved = (fingerprint: string, { crashes, quarantine }: OpenCase): boolean => {
    // After a quarantine has run out, one more crash is enough.
    if (quarantine) return true;
    const rounds = roundsOf(crashes);
    // A request that ran well before is popular rather than harmful: upstreams that die together count once.
    if (soundAt.has(fingerprint)) return rounds >= CRASHES;
    return crashes.length >= CRASHES && rounds >= ROUNDS;
  };

  const verdict = (fingerprint: string): Verdict => {
    const open = current(fingerprint);
    if (!open) return 'clear';
    if ((open.quarantine?.until ?? -Infinity) > clock.monotonic()) return 'quarantined';
    return soundAt.has(fingerprint) ? 'clear' : 'suspect';
  };

  return {
    noteCrash: (fingerprint, crash) => {
      const now = clock.monotonic();
      const isOutdated =
        now - crash.endedAt >= EVIDENCE_MS || crash.endedAt <= lastSound(fingerprint);
      const isKnown = current(fingerprint)?.crashes.some(
        ({ instance }) => instance === crash.instance,
      );
      if (isOutdated || isKnown) return { verdict: verdict(fingerprint), isNews: false };
      const open = openCase(fingerprint);
      open.crashes = [...open.crashes, crash].slice(-MOST_CRASHES);
      if (verdict(fingerprint) !== 'quarantined' && isProved(fingerprint, open)) {
        open.quarantine = { since: now, until: now + QUARANTINE_MS };
      }
      return { verdict: verdict(fingerprint), isNews: true };
    },
    noteSound: (fingerprint, at) => {
      if (at <= lastSound(fingerprint)) return false;
      soundAt.delete(fingerprint);
      soundAt.set(fingerprint, at);
      keepNewest(soundAt, MOST_SOUND);
      const open = current(fingerprint);
      if (!open) return false;
      const left = open.crashes.filter(({ endedAt }) => endedAt > at);
      const isReleased = open.quarantine !== undefined && open.quarantine.since <= at;
      const hasChanged = left.length < open.crashes.length || isReleased;
      open.crashes = left;
      if (isReleased) open.quarantine = undefined;
      if (left.length === 0 && !open.quarantine) cases.delete(fingerprint);
      return hasChanged;
    },
    noteQuarantine: (fingerprint, since, until) => {
      const now = clock.monotonic();
      const isOutdated = until <= now || since <= lastSound(fingerprint);
      if (isOutdated || verdict(fingerprint) === 'quarantined') {
        return { verdict: verdict(fingerprint), isNews: false };
      }
      openCase(fingerprint).quarantine = { since, until: Math.min(until, now + QUARANTINE_MS) };
      return { verdict: 'quarantined', isNews: true };
    },
    verdict,
    caseOf: current,
    all: () => [...cases.keys()].filter((fingerprint) => current(fingerprint) !== undefined),
  };
};
