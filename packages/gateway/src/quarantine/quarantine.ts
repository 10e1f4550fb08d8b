/** Keeps requests that crash upstreams away from them, together with the other entries. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { KeyedChange, RestoreSource } from '@plantaindrum/mirror';
import type { UpstreamStart } from '../types.js';
import { createCrashEvidence } from './crash-evidence.js';
import type { Crash, Verdict } from './crash-evidence.js';
import { MOST_IN_NOTE, readNews } from './news.js';
import type { CrashNews, News } from './news.js';
import { createNewsTeller, noNews } from './news-teller.js';
import { createRecordWriter } from './record-writer.js';
import { decodeRecord, encodeRecord } from './record.js';
import { createRunsAtUpstreams } from './runs-at-upstreams.js';
import { createTriedSuspects } from './tried-suspects.js';
import type { CrashedRun } from './runs-at-upstreams.js';

/** Why a request is not sent to an upstream. */
export type QuarantineRefusal =
  | { reason: 'quarantined'; retryAfterMs: number }
  /** It is suspect and is being tried already; how that ends is not known yet. */
  | { reason: 'crash-suspect' };

/** One attempt, as the quarantine watches it. */
export interface QuarantineRun {
  /** The upstream refused without running the request. */
  noteNotRun(): void;
  /** An event of its stream has come. */
  noteEvent(): void;
  /** The upstream has answered whole. */
  noteWhole(): void;
  /** Whether the upstream is known not to have died of it. */
  hasSurvived(): boolean;
  /** The attempt has ended in any way. */
  end(): void;
}

/** The quarantine of one entry. */
export interface RequestQuarantine {
  /** Why a request may not be sent now; undefined where it may. */
  refusal(fingerprint: string): QuarantineRefusal | undefined;
  /** Whether it was under way in a crash and is not known to run well. */
  isSuspect(fingerprint: string): boolean;
  begin(fingerprint: string, upstream: UpstreamStart): QuarantineRun;
  /** An upstream's process has ended; `proof` says how that is known. */
  noteEnded(upstream: UpstreamStart, proof: EndProof): void;
  /** Takes a peer's note. */
  takeNews(peer: string, value: unknown): void;
  forgetPeer(peer: string): void;
  /** All that is held, for a peer that is newly linked. */
  whole(): News;
  /** Takes a change of the platform's record. */
  takeRecord(change: KeyedChange): void;
  /** The platform's log was restored from an older copy, which lacks these records. */
  noteRestored(lost: readonly string[], source: RestoreSource): void;
  close(): void;
}

/** How it is known that an upstream's process has ended. */
export type EndProof = 'refused-connection' | 'other-instance' | 'started-again';

/** Options of `createQuarantine`. */
export interface QuarantineOptions {
  /** Tells all linked entries. */
  tell: (news: News) => void;
  /** Writes a value under a key of the platform's record, or drops the key; false when not known to have worked. */
  publish: (key: string, value: Uint8Array | undefined) => Promise<boolean>;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/**
 * An upstream may end with the first token that it makes. One that makes events for this long, in ms, does not
 * die of the request.
 */
const SOUND_AFTER_MS = 500;
/** Crashed upstreams from which a suspect is tried by one entry at a time. */
const TRIED_BY_ONE = 2;
/** A quarantine that another entry told of is written from here when it isn't on the platform by then, in ms. */
const RECORD_DUE_MS = 3_000;

const startId = ({ instance, startedAt }: UpstreamStart): string => `${instance}@${startedAt}`;

/** Creates the quarantine of one entry; it writes its record until `close`. */
export const createQuarantine = (options: QuarantineOptions): RequestQuarantine => {
  const { clock, metrics, log } = options;
  const evidence = createCrashEvidence(clock);
  const recorded = new Set<string>();
  /** Recorded as in quarantine, though they have run well since. */
  const outdatedRecords = new Set<string>();
  const tried = createTriedSuspects(clock);
  const teller = createNewsTeller({ tell: options.tell, tried: tried.here, clock });

  const ago = (at: number): number => Math.max(0, clock.monotonic() - at);

  const toNews = (fingerprint: string, { instance, sentAt, endedAt }: Crash): CrashNews => ({
    fingerprint,
    instance,
    sentAgoMs: ago(sentAt),
    endedAgoMs: Math.min(ago(sentAt), ago(endedAt)),
  });

  const quarantineOf = (fingerprint: string): News['quarantined'] => {
    const { quarantine } = evidence.caseOf(fingerprint) ?? {};
    if (!quarantine || evidence.verdict(fingerprint) !== 'quarantined') return [];
    const leftMs = quarantine.until - clock.monotonic();
    return [{ fingerprint, sinceAgoMs: ago(quarantine.since), leftMs }];
  };

  const recordOf = (fingerprint: string): Uint8Array | undefined => {
    const [held] = quarantineOf(fingerprint);
    const now = clock.now();
    return held && encodeRecord({ since: now - held.sinceAgoMs, until: now + held.leftMs });
  };

  const writer = createRecordWriter({ publish: options.publish, recordOf, clock, log });

  const noteVerdict = (fingerprint: string, verdict: Verdict, from: string): void => {
    const { crashes = [] } = evidence.caseOf(fingerprint) ?? {};
    log.event('request-crash-evidence', { fingerprint, verdict, crashes: crashes.length, from });
    if (verdict === 'quarantined') metrics.count('gateway_quarantined', { from });
  };

  /** A crash that this entry has seen: the others hear of it, and the record where it is the last one needed. */
  const noteCrash = ({ fingerprint, crash }: CrashedRun): void => {
    const { verdict, isNews } = evidence.noteCrash(fingerprint, crash);
    if (!isNews) return;
    metrics.count('gateway_crashes_seen');
    noteVerdict(fingerprint, verdict, 'own');
    teller.add('crashes', toNews(fingerprint, crash));
    if (verdict !== 'quarantined') return;
    quarantineOf(fingerprint).forEach((entry) => teller.add('quarantined', entry));
    writer.write(fingerprint);
  };

  const runs = createRunsAtUpstreams(clock, noteCrash);

  const noteSound = (fingerprint: string): void => {
    if (!evidence.noteSound(fingerprint, clock.monotonic())) return;
    log.event('request-sound', { fingerprint });
    teller.add('sound', { fingerprint, agoMs: 0 });
    if (recorded.has(fingerprint)) writer.write(fingerprint);
  };

  /** What a peer's word has brought about; the record is written from here where that peer can't. */
  const notePeerVerdict = (fingerprint: string, verdict: Verdict): void => {
    noteVerdict(fingerprint, verdict, 'peer');
    if (verdict !== 'quarantined') return;
    clock.after(RECORD_DUE_MS, () => {
      const isHeld = evidence.verdict(fingerprint) === 'quarantined';
      if (isHeld && !recorded.has(fingerprint)) writer.write(fingerprint);
    });
  };

  const takePeerNews = (peer: string, told: News): void => {
    const now = clock.monotonic();
    told.sound.forEach(({ fingerprint, agoMs }) => {
      const isNews = evidence.noteSound(fingerprint, now - agoMs);
      if (isNews) log.event('request-sound', { fingerprint, peer });
    });
    told.crashes.forEach(({ fingerprint, instance, sentAgoMs, endedAgoMs }) => {
      const crash = { instance, sentAt: now - sentAgoMs, endedAt: now - endedAgoMs };
      const { verdict, isNews } = evidence.noteCrash(fingerprint, crash);
      if (isNews) notePeerVerdict(fingerprint, verdict);
    });
    told.quarantined.forEach(({ fingerprint, sinceAgoMs, leftMs }) => {
      const change = evidence.noteQuarantine(fingerprint, now - sinceAgoMs, now + leftMs);
      if (change.isNews) notePeerVerdict(fingerprint, change.verdict);
    });
    tried.notePeer(peer, told.tried);
  };

  /** Writes what a restored log lacks, and drops what it has brought back. */
  const writeRestored = (): void => {
    const missing = evidence
      .all()
      .filter((each) => !recorded.has(each) && evidence.verdict(each) === 'quarantined');
    [...missing, ...outdatedRecords].forEach(writer.write);
  };

  return {
    refusal: (fingerprint) => {
      const verdict = evidence.verdict(fingerprint);
      if (verdict === 'clear') return undefined;
      const [held] = quarantineOf(fingerprint);
      if (held) return { reason: 'quarantined', retryAfterMs: held.leftMs };
      const isTried = runs.underWay(fingerprint) > 0 || tried.isTriedByPeer(fingerprint);
      return isTried ? { reason: 'crash-suspect' } : undefined;
    },
    isSuspect: (fingerprint) => evidence.verdict(fingerprint) === 'suspect',
    begin: (fingerprint, upstream) => {
      const { crashes = [] } = evidence.caseOf(fingerprint) ?? {};
      const isTold = crashes.length >= TRIED_BY_ONE && evidence.verdict(fingerprint) === 'suspect';
      if (isTold) {
        tried.begin(fingerprint);
        teller.soon();
      }
      const run = runs.begin(fingerprint, startId(upstream));
      let firstEventAt: number | undefined;
      let isSound = false;
      let isRefused = false;
      const survive = (): void => {
        run.noteSurvived();
        if (!isSound) noteSound(fingerprint);
        isSound = true;
      };
      return {
        noteNotRun: () => {
          isRefused = true;
          run.noteSurvived();
        },
        noteEvent: () => {
          firstEventAt ??= clock.monotonic();
          if (!isSound && ago(firstEventAt) >= SOUND_AFTER_MS) survive();
        },
        noteWhole: survive,
        hasSurvived: () => isSound || isRefused,
        end: () => {
          run.end();
          if (!isTold) return;
          tried.end(fingerprint);
          teller.soon();
        },
      };
    },
    noteEnded: (upstream, proof) => {
      const crashed = runs.noteEnded(startId(upstream));
      if (crashed.length === 0) return;
      log.event('upstream-ended', { upstream: startId(upstream), proof, underWay: crashed.length });
      crashed.forEach(noteCrash);
    },
    takeNews: (peer, value) => {
      const told = readNews(value);
      if (told) takePeerNews(peer, told);
      else {
        metrics.count('gateway_quarantine_news_unreadable');
        log.event('quarantine-news-unreadable', { peer });
      }
    },
    forgetPeer: tried.forgetPeer,
    whole: () => {
      const held = evidence.all().slice(-MOST_IN_NOTE);
      const crashes = held.flatMap((fingerprint) =>
        (evidence.caseOf(fingerprint)?.crashes ?? []).map((crash) => toNews(fingerprint, crash)),
      );
      const quarantined = held.flatMap(quarantineOf);
      return { ...noNews(), crashes: crashes.slice(-MOST_IN_NOTE), quarantined };
    },
    takeRecord: ({ key, value }) => {
      if (value === undefined) {
        recorded.delete(key);
        outdatedRecords.delete(key);
        // Dropped by an operator, or by an entry at which the request ran well.
        if (evidence.noteSound(key, clock.monotonic())) {
          log.event('request-sound', { fingerprint: key, from: 'record' });
        }
        return;
      }
      const record = decodeRecord(value);
      if (!record) {
        metrics.count('gateway_quarantine_news_unreadable');
        log.event('quarantine-record-unreadable', { key, bytes: value.length });
        return;
      }
      recorded.add(key);
      const shift = clock.monotonic() - clock.now();
      const change = evidence.noteQuarantine(key, record.since + shift, record.until + shift);
      if (change.isNews) noteVerdict(key, change.verdict, 'record');
      const isInForce = record.until + shift > clock.monotonic();
      if (isInForce && change.verdict !== 'quarantined') outdatedRecords.add(key);
      else outdatedRecords.delete(key);
    },
    noteRestored: (lost, source) => {
      lost.forEach((key) => recorded.delete(key));
      // The entry that read the restored log writes; the others write where it could not.
      if (source === 'log') writeRestored();
      else clock.after(RECORD_DUE_MS, writeRestored);
    },
    close: () => {
      teller.close();
      writer.close();
    },
  };
};
