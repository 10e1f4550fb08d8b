/**
 * Identifies requests that crash upstreams, from the crashes in which each request was in flight.
 *
 * A harmful request ends its upstream's process; its caller or another one sends it again, and it ends the next
 * process. In an expert group each such crash stops all ranks. One crash proves nothing, as every request at the
 * upstream was in flight when it ended. Nor do many crashes at once: a popular request runs at ten upstreams that lose
 * power together. A request counts as harmful when it was sent again after a crash, was in flight in another crash, and
 * never succeeded in between.
 */

import type { Clock } from '@plantaindrum/common';
import { dropOldest } from './drop-oldest.js';

/** The end of an upstream's process while a request was in flight there (times monotonic, ms). */
export interface Crash {
  /** Identifies the start of the upstream that ended. */
  instance: string;
  sentAt: number;
  endedAt: number;
}

/** How a request is to be treated. */
export type Verdict =
  | 'clear'
  /** It was in flight in a crash and is not known to have succeeded: only one attempt at a time is allowed. */
  | 'suspect'
  /** It is not sent to any upstream. */
  | 'quarantined';

/** Evidence about one request. */
export interface SuspectRecord {
  crashes: readonly Crash[];
  /** The last quarantine, which may be over; undefined if there was none. */
  quarantine: Quarantine | undefined;
}

/** Start and end of a quarantine (monotonic, ms). */
export interface Quarantine {
  since: number;
  until: number;
}

/** Effect of a new piece of evidence. */
export interface EvidenceChange {
  verdict: Verdict;
  /** The evidence was not known before, and is to be forwarded to the other entries. */
  isNew: boolean;
}

/** Crash evidence by the fingerprint of the request. */
export interface CrashEvidence {
  /** Records a crash in which a request was in flight. */
  recordCrash(fingerprint: string, crash: Crash): EvidenceChange;
  /** Records that a request succeeded at this time or was cleared by an operator; true if that removed evidence. */
  recordSuccess(fingerprint: string, at: number): boolean;
  /** Records a quarantine that another entry or a stored record reports. */
  recordQuarantine(fingerprint: string, since: number, until: number): EvidenceChange;
  verdict(fingerprint: string): Verdict;
  suspectRecord(fingerprint: string): SuspectRecord | undefined;
  /** Fingerprints for which there is evidence. */
  fingerprints(): string[];
}

/** Number of crashes that lead to a quarantine, and how many of them must have come one after the other. */
const MIN_CRASHES = 3;
const MIN_SUCCESSIVE_CRASHES = 2;
/** Age at which a crash no longer counts, in ms. */
const EVIDENCE_TTL_MS = 600_000;
/** Duration of a quarantine, in ms; one more crash after its end starts the next one. */
export const QUARANTINE_DURATION_MS = 600_000;
/** Max requests with evidence, and max crashes kept for each; the oldest are dropped first. */
export const MAX_SUSPECTS = 1_024;
const MAX_CRASHES_PER_SUSPECT = 8;
/** Max requests remembered as having succeeded. */
const MAX_SUCCESSES = 4_096;

interface MutableSuspectRecord {
  crashes: Crash[];
  quarantine: Quarantine | undefined;
}

/** Counts crashes one after the other: each counted one had its request sent after the one before had ended. */
export const countSuccessiveCrashes = (crashes: readonly Crash[]): number => {
  let count = 0;
  let endedAt = -Infinity;
  [...crashes]
    .sort((a, b) => a.endedAt - b.endedAt)
    .forEach((crash) => {
      if (crash.sentAt < endedAt) return;
      count += 1;
      endedAt = crash.endedAt;
    });
  return count;
};

/** Creates an empty collection of evidence. */
export const createCrashEvidence = (clock: Clock): CrashEvidence => {
  const suspects = new Map<string, MutableSuspectRecord>();
  const successTimes = new Map<string, number>();

  const isQuarantineExpired = ({ quarantine }: MutableSuspectRecord): boolean =>
    quarantine === undefined || clock.monotonic() - quarantine.until > EVIDENCE_TTL_MS;

  const findSuspect = (fingerprint: string): MutableSuspectRecord | undefined => {
    const suspect = suspects.get(fingerprint);
    if (!suspect) return undefined;
    const now = clock.monotonic();
    suspect.crashes = suspect.crashes.filter(({ endedAt }) => now - endedAt < EVIDENCE_TTL_MS);
    if (suspect.crashes.length === 0 && isQuarantineExpired(suspect)) suspects.delete(fingerprint);
    return suspects.get(fingerprint);
  };

  const findOrAddSuspect = (fingerprint: string): MutableSuspectRecord => {
    const suspect = findSuspect(fingerprint) ?? { crashes: [], quarantine: undefined };
    suspects.delete(fingerprint);
    suspects.set(fingerprint, suspect);
    dropOldest(suspects, MAX_SUSPECTS);
    return suspect;
  };

  const lastSuccessAt = (fingerprint: string): number => successTimes.get(fingerprint) ?? -Infinity;

  const isProven = (
    fingerprint: string,
    { crashes, quarantine }: MutableSuspectRecord,
  ): boolean => {
    // One more crash after the end of a quarantine is enough.
    if (quarantine) return true;
    const successiveCrashes = countSuccessiveCrashes(crashes);
    // A request that succeeded before is more likely popular than harmful: upstreams that end together count once.
    if (successTimes.has(fingerprint)) return successiveCrashes >= MIN_CRASHES;
    return crashes.length >= MIN_CRASHES && successiveCrashes >= MIN_SUCCESSIVE_CRASHES;
  };

  const verdict = (fingerprint: string): Verdict => {
    const suspect = findSuspect(fingerprint);
    if (!suspect) return 'clear';
    if ((suspect.quarantine?.until ?? -Infinity) > clock.monotonic()) return 'quarantined';
    return successTimes.has(fingerprint) ? 'clear' : 'suspect';
  };

  return {
    recordCrash: (fingerprint, crash) => {
      const now = clock.monotonic();
      const isOutdated =
        now - crash.endedAt >= EVIDENCE_TTL_MS || crash.endedAt <= lastSuccessAt(fingerprint);
      const isKnown = findSuspect(fingerprint)?.crashes.some(
        ({ instance }) => instance === crash.instance,
      );
      if (isOutdated || isKnown) return { verdict: verdict(fingerprint), isNew: false };
      const suspect = findOrAddSuspect(fingerprint);
      suspect.crashes = [...suspect.crashes, crash].slice(-MAX_CRASHES_PER_SUSPECT);
      if (verdict(fingerprint) !== 'quarantined' && isProven(fingerprint, suspect)) {
        suspect.quarantine = { since: now, until: now + QUARANTINE_DURATION_MS };
      }
      return { verdict: verdict(fingerprint), isNew: true };
    },
    recordSuccess: (fingerprint, at) => {
      if (at <= lastSuccessAt(fingerprint)) return false;
      successTimes.delete(fingerprint);
      successTimes.set(fingerprint, at);
      dropOldest(successTimes, MAX_SUCCESSES);
      const suspect = findSuspect(fingerprint);
      if (!suspect) return false;
      const laterCrashes = suspect.crashes.filter(({ endedAt }) => endedAt > at);
      const endsQuarantine = suspect.quarantine !== undefined && suspect.quarantine.since <= at;
      const hasChanged = laterCrashes.length < suspect.crashes.length || endsQuarantine;
      suspect.crashes = laterCrashes;
      if (endsQuarantine) suspect.quarantine = undefined;
      if (laterCrashes.length === 0 && !suspect.quarantine) suspects.delete(fingerprint);
      return hasChanged;
    },
    recordQuarantine: (fingerprint, since, until) => {
      const now = clock.monotonic();
      const isOutdated = until <= now || since <= lastSuccessAt(fingerprint);
      if (isOutdated || verdict(fingerprint) === 'quarantined') {
        return { verdict: verdict(fingerprint), isNew: false };
      }
      findOrAddSuspect(fingerprint).quarantine = {
        since,
        until: Math.min(until, now + QUARANTINE_DURATION_MS),
      };
      return { verdict: 'quarantined', isNew: true };
    },
    verdict,
    suspectRecord: findSuspect,
    fingerprints: () =>
      [...suspects.keys()].filter((fingerprint) => findSuspect(fingerprint) !== undefined),
  };
};
