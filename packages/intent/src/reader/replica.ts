/** One node's copy of the intent: the aggregate, the newest records for peers, and the way back. */

import type { LogRecord } from '@plantaindrum/service-clients';
import type { IntentAggregate, IntentSnapshot, ReplayStep } from '../core/document/aggregate.js';
import { createIntentAggregate } from '../core/document/aggregate.js';
import type { CheckpointMark, WholeCheckpoint } from '../core/document/checkpoint.js';
import { batchOf } from '../core/document/snapshot-parts.js';
import { createCheckpointCollector, isCheckpoint, parseMark } from '../core/document/checkpoint.js';

/** The newest checkpoint that this reader met in the log. */
export interface MetCheckpoint {
  asOf: number;
  /** Wall-clock time at which it was made, in milliseconds. */
  at: number;
}

/** Records after an offset, or the whole state when the history no longer reaches back to it. */
export type Handover =
  | { kind: 'records'; records: LogRecord[]; through: number }
  | { kind: 'snapshot'; snapshot: IntentSnapshot };

/** One node's copy of the intent. */
export interface IntentReplica {
  aggregate(): IntentAggregate;
  /** Offset from which the log is to be read next. */
  nextFromLog(): number;
  /** Whether records are missing that the log no longer holds; a checkpoint or a peer is needed. */
  scanning(): boolean;
  /** The log begins at `beginning`, beyond what this replica needs next. */
  startScan(beginning: number): void;
  /** Takes records read from the log at `nextFromLog()`. */
  takeFromLog(records: LogRecord[]): void;
  /** Takes what a peer handed over; what is already known is skipped. */
  takeFromPeer(handover: Handover): void;
  /** What a peer that holds everything up to `after` is missing. */
  handover(after: number, limit: number): Handover;
  checkpoint(): MetCheckpoint | undefined;
  /** Wall-clock time of the first change that this replica replayed, in milliseconds. */
  firstRecordAt(): number | undefined;
}

/** Bounds and notices of a replica. */
export interface IntentReplicaOptions {
  /** Newest records that are kept for peers. */
  historyLimit: number;
  onStep: (step: ReplayStep, record: LogRecord) => void;
}

interface Scan {
  beginning: number;
  records: LogRecord[];
}

const timeOf = ({ value }: LogRecord): number | undefined => {
  const at = (value as { at?: unknown } | null)?.at;
  return typeof at === 'number' ? at : undefined;
};

const markOf = (whole: WholeCheckpoint | undefined): CheckpointMark | undefined =>
  whole && { kind: 'checkpoint-mark', asOf: whole.snapshot.asOf, at: whole.at };

/** A peer that is level with this node has no use for the state itself. */
const slim = (record: LogRecord, mark: CheckpointMark | undefined): LogRecord =>
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
  let met: MetCheckpoint | undefined;
  let frozen: IntentSnapshot | undefined;
  let firstRecordAt: number | undefined;

  const trimHistory = (): void => {
    const surplus = history.length - options.historyLimit;
    if (surplus <= options.historyLimit / 4) return;
    historyAfter = history[surplus - 1]?.offset ?? historyAfter;
    history = history.slice(surplus);
  };

  /** A checkpoint may land after one that covers more. */
  const noteMark = ({ asOf, at }: CheckpointMark): void => {
    if (!met || asOf > met.asOf) met = { asOf, at };
  };

  const replayOne = (record: LogRecord): void => {
    if (record.offset <= aggregate.offset()) return;
    const step = aggregate.replay(record.offset, record.value);
    firstRecordAt ??= timeOf(record);
    const mark = parseMark(record.value) ?? markOf(collector.take(record));
    if (mark) noteMark(mark);
    history.push(slim(record, mark));
    options.onStep(step, record);
  };

  /**
   * A state that was handed over lately serves again while the history reaches back to it: peers
   * fetch its parts one by one, and it must not move under them.
   */
  const frozenState = (): IntentSnapshot => {
    if (!frozen || frozen.asOf < historyAfter) frozen = aggregate.snapshot();
    return frozen;
  };

  const replay = (records: LogRecord[]): void => {
    records.forEach(replayOne);
    trimHistory();
  };

  const restore = (snapshot: IntentSnapshot): void => {
    aggregate = createIntentAggregate(snapshot);
    history = [];
    historyAfter = snapshot.asOf;
  };

  /** The records between a checkpoint's as-of offset and itself must all be there to be replayed. */
  const isUsable = (snapshot: IntentSnapshot, { beginning }: Scan): boolean =>
    snapshot.asOf + 1 >= beginning && snapshot.asOf > aggregate.offset();

  const scanOne = (record: LogRecord, current: Scan): void => {
    current.records.push(record);
    const snapshot = scanCollector.take(record)?.snapshot;
    if (!snapshot || !isUsable(snapshot, current)) return;
    scan = undefined;
    restore(snapshot);
    replay(current.records);
  };

  const takeOne = (record: LogRecord): void => {
    if (scan) {
      scanOne(record, scan);
      return;
    }
    replay([record]);
  };

  /** A peer may have filled the hole that a scan was started for. */
  const endScanIfReached = (): void => {
    if (!scan || aggregate.offset() + 1 < scan.beginning) return;
    const { records } = scan;
    scan = undefined;
    replay(records);
  };

  return {
    aggregate: () => aggregate,
    nextFromLog: () => {
      const last = scan?.records.at(-1)?.offset;
      return last === undefined ? (scan?.beginning ?? aggregate.offset() + 1) : last + 1;
    },
    scanning: () => scan !== undefined,
    startScan: (beginning) => {
      scan = { beginning, records: [] };
    },
    takeFromLog: (records) => records.forEach(takeOne),
    takeFromPeer: (handover) => {
      if (handover.kind === 'records') replay(handover.records);
      else if (handover.snapshot.asOf > aggregate.offset()) restore(handover.snapshot);
      endScanIfReached();
    },
    handover: (after, limit) => {
      if (after < historyAfter) return { kind: 'snapshot', snapshot: frozenState() };
      const missing = history.filter((record) => record.offset > after);
      const records = batchOf(missing, limit);
      const through = records.length < missing.length ? records.at(-1)?.offset : undefined;
      return { kind: 'records', records, through: through ?? aggregate.offset() };
    },
    checkpoint: () => met,
    firstRecordAt: () => firstRecordAt,
  };
};
