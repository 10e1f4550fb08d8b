/** One node's copy of the intent: the aggregate, recent records for peers, and recovery from a checkpoint. */

import type { LogRecord } from '@plantaindrum/service-clients';
import type { IntentAggregate, IntentSnapshot, ReplayStep } from '../core/document/aggregate.js';
import { createIntentAggregate } from '../core/document/aggregate.js';
import type { CheckpointMark, CompleteCheckpoint } from '../core/document/checkpoint.js';
import { batchOf } from '../core/document/snapshot-parts.js';
import { createCheckpointCollector, isCheckpoint, parseMark } from '../core/document/checkpoint.js';

/** The latest checkpoint that this reader has found in the log. */
export interface CheckpointInfo {
  asOf: number;
  /** Wall-clock time at which it was made, in milliseconds. */
  at: number;
}

/** Records after an offset, or a full snapshot if the history no longer reaches back to it. */
export type Handover =
  | { kind: 'records'; records: LogRecord[]; through: number }
  | { kind: 'snapshot'; snapshot: IntentSnapshot };

/** One node's copy of the intent. */
export interface IntentReplica {
  aggregate(): IntentAggregate;
  /** Offset of the next record to read from the log. */
  nextLogOffset(): number;
  /** Whether this replica lacks records that the log no longer holds, so that it needs a checkpoint or a peer. */
  isScanning(): boolean;
  /** Starts looking for a checkpoint, as the log begins at `beginning`, after the record needed next. */
  startScan(beginning: number): void;
  /** Applies records read from the log at `nextLogOffset()`. */
  applyLogRecords(records: LogRecord[]): void;
  /** Applies a peer's handover; skips what is already known. */
  applyHandover(handover: Handover): void;
  /** What a peer that has everything up to `after` lacks, with at most `limit` records. */
  handover(after: number, limit: number): Handover;
  checkpoint(): CheckpointInfo | undefined;
  /** Wall-clock time of the first change that this replica replayed, in milliseconds. */
  firstRecordAt(): number | undefined;
}

/** Options of `createIntentReplica`. */
export interface IntentReplicaOptions {
  /** Number of recent records that are kept for peers. */
  historyLimit: number;
  onStep: (step: ReplayStep, record: LogRecord) => void;
}

interface Scan {
  beginning: number;
  records: LogRecord[];
}

const timestampOf = ({ value }: LogRecord): number | undefined => {
  const at = (value as { at?: unknown } | null)?.at;
  return typeof at === 'number' ? at : undefined;
};

const markOf = (checkpoint: CompleteCheckpoint | undefined): CheckpointMark | undefined =>
  checkpoint && { kind: 'checkpoint-mark', asOf: checkpoint.snapshot.asOf, at: checkpoint.at };

/** Replaces a checkpoint's state by a mark: a peer that is served records already has that state. */
const stripCheckpoint = (record: LogRecord, mark: CheckpointMark | undefined): LogRecord =>
  mark || isCheckpoint(record.value) ? { offset: record.offset, value: mark ?? null } : record;

/** Creates an empty replica. */
export const createIntentReplica = (options: IntentReplicaOptions): IntentReplica => {
  const collector = createCheckpointCollector();
  const scanCollector = createCheckpointCollector();
  let aggregate = createIntentAggregate();
  let history: LogRecord[] = [];
  /** Every record after this offset, up to the aggregate's, is in `history`. */
  let historyAfter = -1;
  let scan: Scan | undefined;
  let latestCheckpoint: CheckpointInfo | undefined;
  let pinned: IntentSnapshot | undefined;
  let firstRecordAt: number | undefined;

  const trimHistory = (): void => {
    const surplus = history.length - options.historyLimit;
    if (surplus <= options.historyLimit / 4) return;
    historyAfter = history[surplus - 1]?.offset ?? historyAfter;
    history = history.slice(surplus);
  };

  /** Keeps the checkpoint that covers most: an older one may be appended after it. */
  const recordMark = ({ asOf, at }: CheckpointMark): void => {
    if (!latestCheckpoint || asOf > latestCheckpoint.asOf) latestCheckpoint = { asOf, at };
  };

  const replayRecord = (record: LogRecord): void => {
    if (record.offset <= aggregate.offset()) return;
    const step = aggregate.replay(record.offset, record.value);
    firstRecordAt ??= timestampOf(record);
    const mark = parseMark(record.value) ?? markOf(collector.add(record));
    if (mark) recordMark(mark);
    history.push(stripCheckpoint(record, mark));
    options.onStep(step, record);
  };

  /**
   * Peers fetch the parts of a snapshot one by one, so the same snapshot is handed over as long as
   * the history reaches back to it.
   */
  const handoverSnapshot = (): IntentSnapshot => {
    if (!pinned || pinned.asOf < historyAfter) pinned = aggregate.snapshot();
    return pinned;
  };

  const replayAll = (records: LogRecord[]): void => {
    records.forEach(replayRecord);
    trimHistory();
  };

  const restore = (snapshot: IntentSnapshot): void => {
    aggregate = createIntentAggregate(snapshot);
    history = [];
    historyAfter = snapshot.asOf;
  };

  /** All records between a checkpoint's as-of offset and the checkpoint itself are needed for replay. */
  const isUsable = (snapshot: IntentSnapshot, { beginning }: Scan): boolean =>
    snapshot.asOf + 1 >= beginning && snapshot.asOf > aggregate.offset();

  const scanRecord = (record: LogRecord, current: Scan): void => {
    current.records.push(record);
    const snapshot = scanCollector.add(record)?.snapshot;
    if (!snapshot || !isUsable(snapshot, current)) return;
    scan = undefined;
    restore(snapshot);
    replayAll(current.records);
  };

  const applyLogRecord = (record: LogRecord): void => {
    if (scan) {
      scanRecord(record, scan);
      return;
    }
    replayAll([record]);
  };

  /** Ends the scan if a peer has filled the gap that it was started for. */
  const endScanIfFilled = (): void => {
    if (!scan || aggregate.offset() + 1 < scan.beginning) return;
    const { records } = scan;
    scan = undefined;
    replayAll(records);
  };

  return {
    aggregate: () => aggregate,
    nextLogOffset: () => {
      const last = scan?.records.at(-1)?.offset;
      return last === undefined ? (scan?.beginning ?? aggregate.offset() + 1) : last + 1;
    },
    isScanning: () => scan !== undefined,
    startScan: (beginning) => {
      scan = { beginning, records: [] };
    },
    applyLogRecords: (records) => records.forEach(applyLogRecord),
    applyHandover: (handover) => {
      if (handover.kind === 'records') replayAll(handover.records);
      else if (handover.snapshot.asOf > aggregate.offset()) restore(handover.snapshot);
      endScanIfFilled();
    },
    handover: (after, limit) => {
      if (after < historyAfter) return { kind: 'snapshot', snapshot: handoverSnapshot() };
      const missing = history.filter((record) => record.offset > after);
      const records = batchOf(missing, limit);
      const through = records.length < missing.length ? records.at(-1)?.offset : undefined;
      return { kind: 'records', records, through: through ?? aggregate.offset() };
    },
    checkpoint: () => latestCheckpoint,
    firstRecordAt: () => firstRecordAt,
  };
};
