/** Refuses requests with parts of prompts that crash upstreams, and shares the evidence with the other entries. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { BEGUN_AFTER_MS } from './monitored-attempt.js';
import { createPartEvidence } from './part-evidence.js';
import type { PartCrash } from './part-evidence.js';
import {
  decodePartRecord,
  encodePartRecord,
  MAX_RECORDED_CRASHES,
  MAX_SHARED_PARTS,
  MAX_SOUND_PARTS,
  partRecordKey,
} from './part-record.js';
import type { QuarantineBroadcaster } from './quarantine-broadcaster.js';
import { MAX_REPORTS_PER_NOTE } from './quarantine-update.js';
import type { PartCrashReport, QuarantineUpdate } from './quarantine-update.js';
import type { CrashedAttempt } from './upstream-attempts.js';

/** The reports of an update that concern parts of prompts. */
export type PartReports = Pick<QuarantineUpdate, 'partCrashes' | 'soundParts'>;

/** The quarantine of parts of prompts at one entry. */
export interface PartQuarantine {
  /** Returns the parts for which a request is refused; undefined if it may be sent. */
  causeIn(sharedParts: readonly string[]): readonly string[] | undefined;
  /**
   * Records the attempts of this entry that were in flight when an upstream's process ended; true if that changes this
   * entry's record.
   */
  recordCrashed(attempts: readonly CrashedAttempt[]): boolean;
  /** Records attempts that broke off at an upstream that goes on running. */
  recordBroken(attempts: readonly CrashedAttempt[]): void;
  /** Records that a request with these parts succeeded at a time (monotonic, ms). */
  recordSuccess(sharedParts: readonly string[], at: number): void;
  applyPeerReports(peer: string, reports: PartReports): void;
  /** Returns all evidence, for a peer that is newly linked. */
  fullReports(): PartReports;
  /** Key of this entry's record on the platform, and its current value; undefined without evidence. */
  recordKey: string;
  recordValue(): Uint8Array | undefined;
  /** Applies a record of an entry; false if it can't be read. Without a value, what the entry reported is dropped. */
  applyRecord(node: string, value: Uint8Array | undefined): boolean;
}

/** Options of `createPartQuarantine`. */
export interface PartQuarantineOptions {
  /** Node name of this entry. */
  node: string;
  broadcaster: Pick<QuarantineBroadcaster, 'add'>;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Attempts that ended longer before the last one at an upstream ended for another reason than its crash, in ms: a crash
 * resets all connections at once.
 */
const CRASH_SPREAD_MS = 500;

const wasBegun = ({ firstEventAt, crash }: CrashedAttempt): boolean =>
  firstEventAt !== undefined && crash.endedAt - firstEventAt >= BEGUN_AFTER_MS;

/** Creates the quarantine of parts. */
export const createPartQuarantine = (options: PartQuarantineOptions): PartQuarantine => {
  const { node, broadcaster, clock, metrics, log } = options;
  const evidence = createPartEvidence(clock);
  const recordKey = partRecordKey(node);

  const ageOf = (at: number): number => Math.max(0, clock.monotonic() - at);

  const toReport = (crash: PartCrash): PartCrashReport => ({
    instance: crash.instance,
    fingerprint: crash.fingerprint,
    sharedParts: [...crash.sharedParts],
    reporter: crash.reporter,
    sentAgoMs: ageOf(crash.sentAt),
    endedAgoMs: Math.min(ageOf(crash.sentAt), ageOf(crash.endedAt)),
  });

  const soundPartsOf = (crashes: readonly PartCrash[]): QuarantineUpdate['soundParts'] =>
    [...new Set(crashes.flatMap(({ sharedParts }) => sharedParts))].flatMap((part) => {
      const at = evidence.lastSuccessAt(part);
      return at === undefined ? [] : [{ part, agoMs: ageOf(at) }];
    });

  /** Records crashes, and logs the causes that follow from them; returns the crashes that were not known. */
  const record = (crashes: readonly PartCrash[]): PartCrash[] => {
    const before = new Set(evidence.causes().map((cause) => cause.join()));
    const added = evidence.recordCrashes(crashes);
    const last = added.at(-1);
    if (!last) return [];
    evidence.causes().forEach((cause) => {
      if (before.has(cause.join())) return;
      const { instance: upstream, reporter } = last;
      metrics.count('gateway_parts_quarantined');
      log.event('part-quarantined', { parts: cause.join(), upstream, reporter });
    });
    return added;
  };

  const recordSuccess = (sharedParts: readonly string[], at: number): void =>
    sharedParts.slice(0, MAX_SHARED_PARTS).forEach((part) => {
      if (!evidence.recordSuccess(part, at)) return;
      broadcaster.add('soundParts', { part, agoMs: ageOf(at) });
    });

  /** Records the success of those attempts that had begun before they broke off. */
  const recordBegun = (attempts: readonly CrashedAttempt[]): void =>
    attempts
      .filter(wasBegun)
      .forEach(({ sharedParts, crash }) => recordSuccess(sharedParts, crash.endedAt));

  /** Tells the peers of successes that change what a report means, and that its sender doesn't know of. */
  const answerReports = ({ partCrashes, soundParts }: PartReports): void => {
    const now = clock.monotonic();
    const told = new Map(soundParts.map(({ part, agoMs }) => [part, now - agoMs]));
    const answered = new Set<string>();
    partCrashes.forEach(({ sharedParts, endedAgoMs }) =>
      sharedParts.forEach((part) => {
        const at = evidence.lastSuccessAt(part);
        const toldAt = told.get(part);
        if (at === undefined || answered.has(part)) return;
        const clearsCrash = at >= now - endedAgoMs && (toldAt ?? -Infinity) < now - endedAgoMs;
        if (toldAt !== undefined && !clearsCrash) return;
        answered.add(part);
        broadcaster.add('soundParts', { part, agoMs: ageOf(at) });
      }),
    );
  };

  return {
    causeIn: (sharedParts) => evidence.causeIn(sharedParts),
    recordCrashed: (attempts) => {
      const lastEndedAt = Math.max(...attempts.map(({ crash }) => crash.endedAt));
      recordBegun(attempts);
      const crashes = record(
        attempts
          .filter((attempt) => !wasBegun(attempt))
          .filter(({ crash }) => crash.endedAt >= lastEndedAt - CRASH_SPREAD_MS)
          .map(({ fingerprint, sharedParts, crash }) => ({
            ...crash,
            fingerprint,
            sharedParts: sharedParts.slice(0, MAX_SHARED_PARTS),
            reporter: node,
          })),
      );
      crashes.forEach((crash) => broadcaster.add('partCrashes', toReport(crash)));
      soundPartsOf(crashes).forEach((sound) => broadcaster.add('soundParts', sound));
      return crashes.length > 0;
    },
    recordBroken: recordBegun,
    recordSuccess,
    applyPeerReports: (peer, reports) => {
      const now = clock.monotonic();
      reports.soundParts.forEach(({ part, agoMs }) => evidence.recordSuccess(part, now - agoMs));
      record(
        reports.partCrashes.map(({ sentAgoMs, endedAgoMs, ...crash }) => ({
          ...crash,
          sentAt: now - sentAgoMs,
          endedAt: now - endedAgoMs,
        })),
      );
      answerReports(reports);
    },
    fullReports: () => {
      const crashes = evidence.crashes().slice(-MAX_REPORTS_PER_NOTE);
      const soundParts = soundPartsOf(crashes).slice(-MAX_REPORTS_PER_NOTE);
      return { partCrashes: crashes.map(toReport), soundParts };
    },
    recordKey,
    recordValue: () => {
      const own = evidence
        .crashes()
        .filter(({ reporter }) => reporter === node)
        .slice(-MAX_RECORDED_CRASHES);
      if (own.length === 0) return undefined;
      const toUnix = clock.now() - clock.monotonic();
      return encodePartRecord({
        crashes: own.map(({ instance, fingerprint, sharedParts, sentAt, endedAt }) => ({
          ...{ instance, fingerprint, sharedParts: [...sharedParts] },
          ...{ sentAt: sentAt + toUnix, endedAt: endedAt + toUnix },
        })),
        sound: soundPartsOf(own)
          .slice(-MAX_SOUND_PARTS)
          .map(({ part, agoMs }) => ({ part, at: clock.now() - agoMs })),
      });
    },
    applyRecord: (from, value) => {
      if (!value) {
        evidence.forgetReporter(from);
        return true;
      }
      const decoded = decodePartRecord(value);
      if (!decoded) return false;
      const now = clock.monotonic();
      const toMonotonic = now - clock.now();
      // The clock of the VM that wrote the record may be ahead of this one.
      const toPast = (at: number): number => Math.min(now, at + toMonotonic);
      decoded.sound.forEach(({ part, at }) => evidence.recordSuccess(part, toPast(at)));
      record(
        decoded.crashes.map((crash) => ({
          ...crash,
          sentAt: toPast(crash.sentAt),
          endedAt: toPast(crash.endedAt),
          reporter: from,
        })),
      );
      return true;
    },
  };
};
