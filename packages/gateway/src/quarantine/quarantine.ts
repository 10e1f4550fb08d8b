/** Keeps requests that crash upstreams away from them, and shares the evidence with the other entries. */

import type { EventFields } from '@plantaindrum/common';
import type { KeyedChange } from '@plantaindrum/mirror';
import type { UpstreamStart } from '../types.js';
import { createCrashEvidence } from './crash-evidence.js';
import type { Crash, Verdict } from './crash-evidence.js';
import { MAX_REPORTS_PER_NOTE, readQuarantineUpdate } from './quarantine-update.js';
import type { CrashReport, QuarantineUpdate } from './quarantine-update.js';
import { createQuarantineBroadcaster, emptyQuarantineUpdate } from './quarantine-broadcaster.js';
import { createRecordWriter } from './record-writer.js';
import { decodeRecord, encodeRecord } from './record.js';
import { createMonitoredAttempt } from './monitored-attempt.js';
import { createPartQuarantine } from './part-quarantine.js';
import { nodeOfPartRecord } from './part-record.js';
import { createUpstreamAttempts } from './upstream-attempts.js';
import { createSuspectTrials } from './suspect-trials.js';
import type { QuarantineOptions, RequestQuarantine } from './types.js';
import type { CrashedAttempt } from './upstream-attempts.js';

/** Number of crashes from which only one entry at a time may send a suspect request. */
const EXCLUSIVE_TRIAL_CRASHES = 2;
/** Time after which this entry writes the record of a quarantine that a peer reported but hasn't recorded, in ms. */
const PEER_RECORD_DELAY_MS = 3_000;

const startId = ({ instance, startedAt }: UpstreamStart): string => `${instance}@${startedAt}`;

/** Creates the quarantine of one entry; it writes quarantine records until `close`. */
export const createQuarantine = (options: QuarantineOptions): RequestQuarantine => {
  const { clock, metrics, log } = options;
  const evidence = createCrashEvidence(clock);
  const recorded = new Set<string>();
  /** Requests that are recorded as quarantined although they have succeeded since. */
  const outdatedRecords = new Set<string>();
  const trials = createSuspectTrials(clock);
  const broadcaster = createQuarantineBroadcaster({
    broadcast: options.broadcast,
    underTrial: trials.localTrials,
    clock,
  });

  const partQuarantine = createPartQuarantine({
    node: options.node,
    broadcaster,
    clock,
    metrics,
    log,
  });

  const elapsedSince = (at: number): number => Math.max(0, clock.monotonic() - at);

  const toCrashReport = (
    fingerprint: string,
    { instance, sentAt, endedAt }: Crash,
  ): CrashReport => ({
    fingerprint,
    instance,
    sentAgoMs: elapsedSince(sentAt),
    endedAgoMs: Math.min(elapsedSince(sentAt), elapsedSince(endedAt)),
  });

  /** Returns the report of a request's quarantine; empty if it isn't quarantined. */
  const quarantineReports = (fingerprint: string): QuarantineUpdate['quarantined'] => {
    const { quarantine } = evidence.suspectRecord(fingerprint) ?? {};
    if (!quarantine || evidence.verdict(fingerprint) !== 'quarantined') return [];
    const leftMs = quarantine.until - clock.monotonic();
    return [{ fingerprint, sinceAgoMs: elapsedSince(quarantine.since), leftMs }];
  };

  const recordOf = (key: string): Uint8Array | undefined => {
    if (key === partQuarantine.recordKey) return partQuarantine.recordValue();
    const [report] = quarantineReports(key);
    const now = clock.now();
    return report && encodeRecord({ since: now - report.sinceAgoMs, until: now + report.leftMs });
  };

  const writer = createRecordWriter({ publish: options.publish, recordOf, clock, log });

  const logVerdict = (
    fingerprint: string,
    verdict: Verdict,
    from: string,
    inputs: EventFields = {},
  ): void => {
    const { crashes = [] } = evidence.suspectRecord(fingerprint) ?? {};
    const fields = { fingerprint, verdict, crashes: crashes.length, from, ...inputs };
    log.event('request-crash-evidence', fields);
    if (verdict === 'quarantined') metrics.count('gateway_quarantined', { from });
  };

  /** Reports a crash seen by this entry to the others, and records the quarantine if the crash leads to one. */
  const handleCrash = ({ fingerprint, sharedParts, crash }: CrashedAttempt): void => {
    const { verdict, isNew } = evidence.recordCrash(fingerprint, crash);
    if (!isNew) return;
    metrics.count('gateway_crashes_seen');
    logVerdict(fingerprint, verdict, 'own', {
      upstream: crash.instance,
      parts: sharedParts.join(),
      sentAgoMs: Math.round(elapsedSince(crash.sentAt)),
      endedAgoMs: Math.round(elapsedSince(crash.endedAt)),
    });
    broadcaster.add('crashes', toCrashReport(fingerprint, crash));
    if (verdict !== 'quarantined') return;
    quarantineReports(fingerprint).forEach((report) => broadcaster.add('quarantined', report));
    writer.write(fingerprint);
  };

  const handleCrashes = (crashed: readonly CrashedAttempt[]): void => {
    crashed.forEach(handleCrash);
    if (partQuarantine.recordCrashed(crashed)) writer.write(partQuarantine.recordKey);
  };

  const attempts = createUpstreamAttempts(clock, (crashed) => handleCrashes([crashed]));

  const handleSuccess = (fingerprint: string): void => {
    if (!evidence.recordSuccess(fingerprint, clock.monotonic())) return;
    log.event('request-sound', { fingerprint });
    broadcaster.add('sound', { fingerprint, agoMs: 0 });
    if (recorded.has(fingerprint)) writer.write(fingerprint);
  };

  /** Handles a verdict that follows from a peer's report; writes the record here if the peer can't. */
  const handlePeerVerdict = (fingerprint: string, verdict: Verdict): void => {
    logVerdict(fingerprint, verdict, 'peer');
    if (verdict !== 'quarantined') return;
    clock.after(PEER_RECORD_DELAY_MS, () => {
      const isQuarantined = evidence.verdict(fingerprint) === 'quarantined';
      if (isQuarantined && !recorded.has(fingerprint)) writer.write(fingerprint);
    });
  };

  const applyPeerUpdate = (peer: string, update: QuarantineUpdate): void => {
    const now = clock.monotonic();
    update.sound.forEach(({ fingerprint, agoMs }) => {
      const isNew = evidence.recordSuccess(fingerprint, now - agoMs);
      if (isNew) log.event('request-sound', { fingerprint, peer });
    });
    update.crashes.forEach(({ fingerprint, instance, sentAgoMs, endedAgoMs }) => {
      const crash = { instance, sentAt: now - sentAgoMs, endedAt: now - endedAgoMs };
      const { verdict, isNew } = evidence.recordCrash(fingerprint, crash);
      if (isNew) handlePeerVerdict(fingerprint, verdict);
    });
    update.quarantined.forEach(({ fingerprint, sinceAgoMs, leftMs }) => {
      const change = evidence.recordQuarantine(fingerprint, now - sinceAgoMs, now + leftMs);
      if (change.isNew) handlePeerVerdict(fingerprint, change.verdict);
    });
    partQuarantine.applyPeerReports(peer, update);
    trials.setPeerTrials(peer, update.tried);
  };

  const applyPartRecord = (node: string, { key, value }: KeyedChange): void => {
    if (value) recorded.add(key);
    else recorded.delete(key);
    if (partQuarantine.applyRecord(node, value)) return;
    metrics.count('gateway_quarantine_news_unreadable');
    log.event('quarantine-record-unreadable', { key, bytes: value?.length });
  };

  /** Writes the records that a restored log lacks, and deletes the outdated ones that it brought back. */
  const rewriteRecords = (): void => {
    const missing = evidence
      .fingerprints()
      .filter(
        (fingerprint) =>
          !recorded.has(fingerprint) && evidence.verdict(fingerprint) === 'quarantined',
      );
    const { recordKey, recordValue } = partQuarantine;
    const ownPartRecord = recordValue() && !recorded.has(recordKey) ? [recordKey] : [];
    [...missing, ...ownPartRecord, ...outdatedRecords].forEach(writer.write);
  };

  return {
    refusal: (fingerprint, sharedParts = []) => {
      const parts = partQuarantine.causeIn(sharedParts);
      if (parts) return { reason: 'part-quarantined', parts };
      const verdict = evidence.verdict(fingerprint);
      if (verdict === 'clear') return undefined;
      const [report] = quarantineReports(fingerprint);
      if (report) return { reason: 'quarantined', retryAfterMs: report.leftMs };
      const isUnderTrial =
        attempts.countInFlight(fingerprint) > 0 || trials.isUnderTrialByPeer(fingerprint);
      return isUnderTrial ? { reason: 'crash-suspect' } : undefined;
    },
    isSuspect: (fingerprint) => evidence.verdict(fingerprint) === 'suspect',
    begin: (fingerprint, upstream, sharedParts = [], connection = 'established') => {
      const { crashes = [] } = evidence.suspectRecord(fingerprint) ?? {};
      const isExclusiveTrial =
        crashes.length >= EXCLUSIVE_TRIAL_CRASHES && evidence.verdict(fingerprint) === 'suspect';
      if (isExclusiveTrial) {
        trials.begin(fingerprint);
        broadcaster.schedule();
      }
      return createMonitoredAttempt({
        attempt: attempts.begin({ fingerprint, sharedParts }, startId(upstream), connection),
        onBegun: () => partQuarantine.recordSuccess(sharedParts, clock.monotonic()),
        onSuccess: () => handleSuccess(fingerprint),
        onEnd: () => {
          if (!isExclusiveTrial) return;
          trials.end(fingerprint);
          broadcaster.schedule();
        },
        clock,
      });
    },
    handleEnd: (upstream, proof) => {
      const crashed = attempts.handleUpstreamEnded(startId(upstream));
      if (crashed.length === 0) return;
      log.event('upstream-ended', { upstream: startId(upstream), proof, underWay: crashed.length });
      handleCrashes(crashed);
    },
    handleAlive: (upstream) => partQuarantine.recordBroken(attempts.lostAt(startId(upstream))),
    handlePeerUpdate: (peer, value) => {
      const update = readQuarantineUpdate(value);
      if (update) applyPeerUpdate(peer, update);
      else {
        metrics.count('gateway_quarantine_news_unreadable');
        log.event('quarantine-news-unreadable', { peer });
      }
    },
    forgetPeer: trials.forgetPeer,
    fullUpdate: () => {
      const fingerprints = evidence.fingerprints().slice(-MAX_REPORTS_PER_NOTE);
      const crashes = fingerprints.flatMap((fingerprint) =>
        (evidence.suspectRecord(fingerprint)?.crashes ?? []).map((crash) =>
          toCrashReport(fingerprint, crash),
        ),
      );
      const quarantined = fingerprints.flatMap(quarantineReports);
      return {
        ...emptyQuarantineUpdate(),
        ...partQuarantine.fullReports(),
        crashes: crashes.slice(-MAX_REPORTS_PER_NOTE),
        quarantined,
      };
    },
    applyRecord: ({ key, value }) => {
      const node = nodeOfPartRecord(key);
      if (node !== undefined) {
        applyPartRecord(node, { key, value });
        return;
      }
      if (value === undefined) {
        recorded.delete(key);
        outdatedRecords.delete(key);
        // Deleted by an operator, or by an entry at which the request succeeded.
        if (evidence.recordSuccess(key, clock.monotonic())) {
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
      const unixToMonotonic = clock.monotonic() - clock.now();
      const change = evidence.recordQuarantine(
        key,
        record.since + unixToMonotonic,
        record.until + unixToMonotonic,
      );
      if (change.isNew) logVerdict(key, change.verdict, 'record');
      const isInForce = record.until + unixToMonotonic > clock.monotonic();
      if (isInForce && change.verdict !== 'quarantined') outdatedRecords.add(key);
      else outdatedRecords.delete(key);
    },
    handleRestored: (lost, source) => {
      lost.forEach((key) => recorded.delete(key));
      // The entry that read the restored log from the platform writes at once; the others only if it couldn't.
      if (source === 'log') rewriteRecords();
      else clock.after(PEER_RECORD_DELAY_MS, rewriteRecords);
    },
    close: () => {
      broadcaster.close();
      writer.close();
    },
  };
};
