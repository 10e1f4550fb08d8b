/**
 * The operators' intent, replayed from the log.
 *
 * Every reader applies the same rule to the same records in offset order, so all hold the same
 * document at the same offset; the log itself needs no compare-and-set. A change takes effect iff
 * the base of each of its keys is that key's version, and the resulting document is valid.
 */

import { createHash } from 'node:crypto';
import type {
  IntentConflict,
  IntentDocument,
  IntentKey,
  IntentRecord,
  IntentSubmission,
  IntentView,
} from '../../types.js';
import { checkChanges, recordSchema, sections, splitKey } from './validation.js';
import type { CheckedChanges } from './validation.js';

/** Outcome of replaying one change. */
export type ReplayOutcome =
  | { outcome: 'accepted' }
  | { outcome: 'conflict'; conflicts: IntentConflict[] }
  | { outcome: 'invalid'; faults: string[] };

/** A recently replayed change with its outcome, by which a repeated id is recognised. */
export type RecentChange = ReplayOutcome & {
  id: string;
  offset: number;
  author: string;
  /** Hash of the changes, to detect an id that is used for two different changes. */
  digest: string;
};

/** The state that replaces the records up to `asOf`. */
export interface IntentSnapshot {
  /** Offset of the last record that the snapshot includes; -1 for none. */
  asOf: number;
  values: [IntentKey, unknown][];
  /** Versions of all keys. Those of removed keys are kept, so that no old base becomes valid again. */
  versions: [IntentKey, number][];
  recent: RecentChange[];
}

/** Effect of replaying one record. */
export type ReplayStep = ReplayOutcome['outcome'] | 'duplicate' | 'not-a-change';

/** The intent as of one offset. */
export interface IntentAggregate {
  /** Offset of the last record replayed; -1 before the first. */
  offset(): number;
  /** Replays the record at `offset`, which must be beyond the last one. */
  replay(offset: number, value: unknown): ReplayStep;
  /** The outcome that replay would give a submission now, without applying it. */
  preview(submission: Pick<IntentSubmission, 'changes'>): ReplayOutcome;
  /** The change with this id and its outcome, if it was replayed recently. */
  lookup(id: string): RecentChange | undefined;
  view(): IntentView;
  snapshot(): IntentSnapshot;
}

/**
 * Ids are remembered for this many offsets. A change that is repeated later still can't take effect
 * twice, as its bases are no longer the current versions; it is reported as a conflict instead of a
 * duplicate.
 */
export const RECENT_OFFSETS = 4_096;

/** Hash of a submission's changes. */
export const digestOf = (changes: IntentSubmission['changes']): string => {
  const plain = changes.map(({ key, base, value }) => [key, base, value ?? null]);
  return createHash('sha256').update(JSON.stringify(plain)).digest('hex').slice(0, 16);
};

const documentOf = (values: ReadonlyMap<IntentKey, unknown>): IntentDocument => {
  const bySection = new Map(sections.map((section) => [section, [] as [string, unknown][]]));
  [...values].forEach(([key, value]) => {
    const parts = splitKey(key);
    if (parts) bySection.get(parts.section)?.push([parts.name, value]);
  });
  const entries = [...bySection].map(([section, list]) => [section, Object.fromEntries(list)]);
  return Object.fromEntries(entries) as IntentDocument;
};

/** Creates the aggregate, empty or from a snapshot. */
export const createIntentAggregate = (from?: IntentSnapshot): IntentAggregate => {
  const values = new Map(from?.values);
  const versions = new Map(from?.versions);
  const recent = new Map(from?.recent.map((change) => [change.id, change]));
  let offset = from?.asOf ?? -1;
  let document: IntentDocument | undefined;
  let versionRecord: Readonly<Record<string, number>> | undefined;

  const versionOf = (key: IntentKey): number => versions.get(key) ?? -1;

  const authorOf = (version: number): { author?: string } => {
    const change = [...recent.values()].find((known) => known.offset === version);
    return change ? { author: change.author } : {};
  };

  const conflictsOf = (changes: IntentSubmission['changes']): IntentConflict[] =>
    changes
      .filter(({ key, base }) => versionOf(key) !== base)
      .map(({ key, base }) => {
        const version = versionOf(key);
        return { key, base, version, ...authorOf(version) };
      });

  const evaluate = (changes: IntentSubmission['changes']): [ReplayOutcome, CheckedChanges] => {
    const checked = checkChanges(changes, values);
    const conflicts = conflictsOf(changes);
    if (conflicts.length > 0) return [{ outcome: 'conflict', conflicts }, checked];
    if (!checked.valid) return [{ outcome: 'invalid', faults: checked.faults }, checked];
    return [{ outcome: 'accepted' }, checked];
  };

  const applyValues = (changed: Map<IntentKey, unknown>): void => {
    [...changed].forEach(([key, value]) => {
      if (value === null) values.delete(key);
      else values.set(key, value);
      versions.set(key, offset);
    });
    document = undefined;
    versionRecord = undefined;
  };

  /** The map is in order of offsets, so iteration stops at the first change to keep. */
  const evictOldChanges = (): void => {
    for (const change of recent.values()) {
      if (change.offset > offset - RECENT_OFFSETS) return;
      recent.delete(change.id);
    }
  };

  const replayChange = ({ id, author, changes }: IntentRecord): ReplayStep => {
    if (recent.has(id)) return 'duplicate';
    const [outcome, checked] = evaluate(changes);
    if (outcome.outcome === 'accepted' && checked.valid) applyValues(checked.changed);
    recent.set(id, { ...outcome, id, offset, author, digest: digestOf(changes) });
    return outcome.outcome;
  };

  const replay = (at: number, value: unknown): ReplayStep => {
    if (at <= offset) throw new Error(`record ${at} replayed after ${offset}`);
    offset = at;
    evictOldChanges();
    const record = recordSchema.safeParse(value);
    return record.success ? replayChange(record.data) : 'not-a-change';
  };

  const view = (): IntentView => {
    document ??= documentOf(values);
    versionRecord ??= Object.fromEntries(versions);
    return { document, offset, versions: versionRecord };
  };

  return {
    offset: () => offset,
    replay,
    preview: ({ changes }) => evaluate(changes)[0],
    lookup: (id) => recent.get(id),
    view,
    snapshot: () => ({
      asOf: offset,
      values: [...values],
      versions: [...versions],
      recent: [...recent.values()],
    }),
  };
};
