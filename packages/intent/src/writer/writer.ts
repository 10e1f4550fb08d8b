/** Appends an operator's change to the log and gets its outcome from replay. */

import { sleep } from '@plantaindrum/common';
import type { Clock, Metrics, Random } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';
import type { IntentAggregate, RecentChange } from '../core/document/aggregate.js';
import { digestOf } from '../core/document/aggregate.js';
import { submissionSchema } from '../core/document/validation.js';
import { INTENT_PARTITION, INTENT_TOPIC } from '../reader/log-follower.js';
import type { IntentRecord, IntentSubmission, SubmitOutcome } from '../types.js';

/** Options of `createIntentWriter`. The reader of the same node reads the appended records back. */
export interface IntentWriterOptions {
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  aggregate: () => IntentAggregate;
  /** Resolves to true once `offset` is replayed at this node, to false after `ms` milliseconds. */
  waitForOffset: (offset: number, ms: number) => Promise<boolean>;
  /** Makes the reader read the log at once if it is waiting to retry. */
  retryNow: () => void;
  /** Timeout of a submission, in milliseconds. */
  submitTimeoutMs: number;
}

/** Appends operators' changes. */
export interface IntentWriter {
  /** Safe to repeat with the same id: one id has at most one effect. */
  submit(submission: IntentSubmission): Promise<SubmitOutcome>;
}

const MIN_RETRY_DELAY_MS = 50;

const shapeFaults = (issues: { path: PropertyKey[]; message: string }[]): string[] =>
  issues.map(({ path, message }) => `${path.map(String).join('.')}: ${message}`);

const outcomeOf = (change: RecentChange): SubmitOutcome => {
  if (change.outcome === 'accepted') return { outcome: 'accepted', version: change.offset };
  if (change.outcome === 'conflict') return { outcome: 'conflict', conflicts: change.conflicts };
  return { outcome: 'invalid', faults: change.faults };
};

/** Creates a writer beside a reader. */
export const createIntentWriter = (options: IntentWriterOptions): IntentWriter => {
  const { log, clock, random, metrics, aggregate, waitForOffset } = options;

  /** Replay skips malformed records, so the outcome of a malformed submission would never be known. */
  const rejectMalformed = (submission: IntentSubmission): SubmitOutcome | undefined => {
    const shape = submissionSchema.safeParse(submission);
    if (shape.success) return undefined;
    return { outcome: 'invalid', faults: shapeFaults(shape.error.issues) };
  };

  const knownOutcome = (submission: IntentSubmission): SubmitOutcome | undefined => {
    const known = aggregate().lookup(submission.id);
    if (!known) return undefined;
    if (known.digest === digestOf(submission.changes)) return outcomeOf(known);
    return { outcome: 'invalid', faults: [`id ${submission.id}: used for another change before`] };
  };

  /**
   * Rejects a change without an append if replay would reject it. A base beyond what this node has read is
   * not a conflict: the operator has seen a later state at another node, and replay decides.
   */
  const rejectEarly = (submission: IntentSubmission): SubmitOutcome | undefined => {
    const preview = aggregate().preview(submission);
    if (preview.outcome === 'accepted') return undefined;
    const isAhead = submission.changes.some(({ base }) => base > aggregate().offset());
    return isAhead ? undefined : preview;
  };

  const waitBeforeRetry = async (err: LogFailure, deadline: number): Promise<void> => {
    const left = Math.max(0, deadline - clock.monotonic());
    const base = Math.max(MIN_RETRY_DELAY_MS, err.retryAfterMs);
    await sleep(clock, Math.min(left, base * (0.5 + random())));
  };

  /** After a lost answer: reads up to the current end of the log, as the record may have been appended. */
  const readToEnd = async (deadline: number): Promise<void> => {
    const range = await log.offsets(INTENT_TOPIC, INTENT_PARTITION);
    if (range.ok) await waitForOffset(range.value.end - 1, deadline - clock.monotonic());
  };

  const appendOnce = async (record: IntentRecord, deadline: number): Promise<void> => {
    const appended = await log.append(INTENT_TOPIC, INTENT_PARTITION, [record]);
    options.retryNow();
    if (appended.ok) {
      await waitForOffset(appended.value[0] ?? 0, deadline - clock.monotonic());
      return;
    }
    metrics.count('intent_append_failed', { kind: appended.err.kind });
    if (appended.err.kind === 'unknown') await readToEnd(deadline);
    if (!aggregate().lookup(record.id)) await waitBeforeRetry(appended.err, deadline);
  };

  const appendUntilKnown = async (submission: IntentSubmission): Promise<SubmitOutcome> => {
    const { id, author, changes } = submission;
    const deadline = clock.monotonic() + options.submitTimeoutMs;
    const record: IntentRecord = { kind: 'change', id, author, at: clock.now(), changes };
    while (clock.monotonic() < deadline) {
      await appendOnce(record, deadline);
      const outcome = knownOutcome(submission);
      if (outcome) return outcome;
    }
    return { outcome: 'unknown', id };
  };

  const submit = async (submission: IntentSubmission): Promise<SubmitOutcome> => {
    const early =
      rejectMalformed(submission) ?? knownOutcome(submission) ?? rejectEarly(submission);
    const outcome = early ?? (await appendUntilKnown(submission));
    metrics.count('intent_submitted', { outcome: outcome.outcome });
    return outcome;
  };

  return { submit };
};
