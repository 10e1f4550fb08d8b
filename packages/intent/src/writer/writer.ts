/** Appends an operator's change and learns from replay what became of it. */

import { sleep } from '@plantaindrum/common';
import type { Clock, Metrics, Random } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';
import type { IntentAggregate, RecentChange } from '../core/document/aggregate.js';
import { digestOf } from '../core/document/aggregate.js';
import { submissionSchema } from '../core/document/validation.js';
import { INTENT_PARTITION, INTENT_TOPIC } from '../reader/log-follower.js';
import type { IntentRecord, IntentSubmission, SubmitOutcome } from '../types.js';

/** What a writer works with; the replica beside it reads its records back. */
export interface IntentWriterOptions {
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  aggregate: () => IntentAggregate;
  /** True once `offset` is replayed here, false when `ms` passed first. */
  reached: (offset: number, ms: number) => Promise<boolean>;
  /** Makes the reader try the log at once. */
  wake: () => void;
  /** Time for the whole submission, in milliseconds. */
  submitMs: number;
}

/** Appends operators' changes. */
export interface IntentWriter {
  /** Safe to ask again with the same id: one id has at most one effect. */
  submit(submission: IntentSubmission): Promise<SubmitOutcome>;
}

const RETRY_MIN_MS = 50;

const shapeFaults = (issues: { path: PropertyKey[]; message: string }[]): string[] =>
  issues.map(({ path, message }) => `${path.map(String).join('.')}: ${message}`);

const outcomeOf = (change: RecentChange): SubmitOutcome => {
  if (change.outcome === 'accepted') return { outcome: 'accepted', version: change.offset };
  if (change.outcome === 'conflict') return { outcome: 'conflict', conflicts: change.conflicts };
  return { outcome: 'invalid', faults: change.faults };
};

/** Creates a writer beside a reader. */
export const createIntentWriter = (options: IntentWriterOptions): IntentWriter => {
  const { log, clock, random, metrics, aggregate, reached } = options;

  /** A record of another shape would be skipped on replay, and its outcome never known. */
  const refusalByShape = (submission: IntentSubmission): SubmitOutcome | undefined => {
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
   * Spares the log an append that replay would refuse. A base beyond what this node has read is no
   * conflict: the operator has seen a newer state elsewhere, and replay will tell.
   */
  const refusalBefore = (submission: IntentSubmission): SubmitOutcome | undefined => {
    const preview = aggregate().preview(submission);
    if (preview.outcome === 'accepted') return undefined;
    const isAhead = submission.changes.some(({ base }) => base > aggregate().offset());
    return isAhead ? undefined : preview;
  };

  const pause = async (err: LogFailure, deadline: number): Promise<void> => {
    const left = Math.max(0, deadline - clock.monotonic());
    const base = Math.max(RETRY_MIN_MS, err.retryAfterMs);
    await sleep(clock, Math.min(left, base * (0.5 + random())));
  };

  /** After a lost answer: reads up to the log's end as of now, where the record may stand. */
  const readToEnd = async (deadline: number): Promise<void> => {
    const range = await log.offsets(INTENT_TOPIC, INTENT_PARTITION);
    if (range.ok) await reached(range.value.end - 1, deadline - clock.monotonic());
  };

  const appendOnce = async (record: IntentRecord, deadline: number): Promise<void> => {
    const appended = await log.append(INTENT_TOPIC, INTENT_PARTITION, [record]);
    options.wake();
    if (appended.ok) {
      await reached(appended.value[0] ?? 0, deadline - clock.monotonic());
      return;
    }
    metrics.count('intent_append_failed', { kind: appended.err.kind });
    if (appended.err.kind === 'unknown') await readToEnd(deadline);
    if (!aggregate().lookup(record.id)) await pause(appended.err, deadline);
  };

  const appendUntilKnown = async (submission: IntentSubmission): Promise<SubmitOutcome> => {
    const { id, author, changes } = submission;
    const deadline = clock.monotonic() + options.submitMs;
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
      refusalByShape(submission) ?? knownOutcome(submission) ?? refusalBefore(submission);
    const outcome = early ?? (await appendUntilKnown(submission));
    metrics.count('intent_submitted', { outcome: outcome.outcome });
    return outcome;
  };

  return { submit };
};
