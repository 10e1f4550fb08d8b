import { expect } from 'chai';
import fc from 'fast-check';
import { createIntentAggregate } from '../src/index.js';
import type { IntentAggregate, IntentChange, IntentKey, IntentRecord } from '../src/index.js';
import { checkpointRecords } from '../src/core/document/checkpoint.js';
import { createIntentReplica } from '../src/reader/replica.js';
import type { IntentReplica } from '../src/reader/replica.js';

const RUNS = { numRuns: 300, seed: 20_261_202 };

const nameOf = fc.constantFrom('a', 'b', 'c');

const changeOf: fc.Arbitrary<IntentChange> = fc.oneof(
  fc.record({
    key: nameOf.map((name) => `classes/${name}` as IntentKey),
    base: fc.integer({ min: -1, max: 20 }),
    value: fc.option(fc.record({ latestAnswerMs: fc.integer({ min: 0, max: 3 }) })),
  }),
  fc.record({
    key: nameOf.map((name) => `organisations/${name}` as IntentKey),
    base: fc.integer({ min: -1, max: 20 }),
    value: fc.option(fc.record({ defaultClass: nameOf })),
  }),
);

const recordOf: fc.Arbitrary<IntentRecord> = fc.record({
  kind: fc.constant('change' as const),
  id: fc.integer({ min: 0, max: 30 }).map((n) => `id-${n}`),
  author: fc.constantFrom('x', 'y'),
  at: fc.constant(0),
  changes: fc.array(changeOf, { minLength: 1, maxLength: 3 }),
});

/** Sets the bases to the current versions: random bases rarely match, so most changes would be conflicts. */
const rebase = (record: IntentRecord, aggregate: IntentAggregate): IntentRecord => ({
  ...record,
  changes: record.changes.map((change) => ({
    ...change,
    base: aggregate.view().versions[change.key] ?? -1,
  })),
});

interface Step {
  record: IntentRecord;
  fits: boolean;
  /** If set, also appends a checkpoint of the state this many records ago. */
  checkpointOf: number | undefined;
}

const stepOf: fc.Arbitrary<Step> = fc.record({
  record: recordOf,
  fits: fc.boolean(),
  checkpointOf: fc.option(fc.nat({ max: 5 }), { nil: undefined, freq: 4 }),
});

const createReplica = (): IntentReplica =>
  createIntentReplica({ historyLimit: 4, onStep: () => {} });

/** The log that the steps produce, and the view at each of its offsets. */
const buildLog = (steps: Step[]) => {
  const writer = createIntentAggregate();
  const log: { offset: number; value: unknown }[] = [];
  const snapshots = [writer.snapshot()];
  const views = [writer.view()];
  const push = (value: unknown): void => {
    const offset = log.length;
    log.push({ offset, value });
    writer.replay(offset, value);
    snapshots.push(writer.snapshot());
    views.push(writer.view());
  };
  steps.forEach(({ record, fits, checkpointOf }, index) => {
    push(fits ? rebase(record, writer) : record);
    if (checkpointOf === undefined) return;
    const snapshot = snapshots[Math.max(0, snapshots.length - 1 - checkpointOf)];
    if (snapshot) checkpointRecords(snapshot, { id: `c-${index}`, at: 0 }, 1).forEach(push);
  });
  return { log, views, end: writer };
};

const readFrom = (log: { offset: number; value: unknown }[], beginning: number): IntentReplica => {
  const replica = createReplica();
  if (beginning > 0) replica.startScan(beginning);
  replica.applyLogRecords(log.slice(beginning));
  return replica;
};

describe('replay of intent', () => {
  const steps = fc.array(stepOf, { minLength: 1, maxLength: 25 });

  it('gives the same document at the same offset wherever a reader starts', () => {
    let started = 0;
    const property = fc.property(steps, fc.nat({ max: 20 }), (list, beginning) => {
      const { log, views, end } = buildLog(list);
      const replica = readFrom(log, Math.min(beginning, log.length));
      if (replica.isScanning()) {
        expect(replica.aggregate().view()).to.deep.equal(views[0]);
        return;
      }
      started += 1;
      expect(replica.aggregate().view()).to.deep.equal(end.view());
      expect(replica.aggregate().snapshot().recent).to.deep.equal(end.snapshot().recent);
    });
    fc.assert(property, RUNS);
    expect(started).to.be.greaterThan(RUNS.numRuns / 3);
  });

  it('never decreases a version or the offset', () => {
    const property = fc.property(steps, (list) => {
      const { views } = buildLog(list);
      views.slice(1).forEach((view, index) => {
        const before = views[index]?.versions ?? {};
        expect(view.offset).to.equal((views[index]?.offset ?? -1) + 1);
        Object.entries(before).forEach(([key, version]) => {
          expect(view.versions[key]).to.be.at.least(version);
        });
      });
    });
    fc.assert(property, RUNS);
  });

  it('keeps every document consistent: each class that is referred to exists', () => {
    const property = fc.property(steps, (list) => {
      buildLog(list).views.forEach(({ document }) => {
        Object.values(document.organisations).forEach(({ defaultClass }) => {
          expect(document.classes).to.have.property(defaultClass ?? '');
        });
      });
    });
    fc.assert(property, RUNS);
  });

  // An append whose answer was lost is repeated, so a record may be in the log several times.
  it('applies a record once however often it is appended', () => {
    const property = fc.property(steps, fc.array(fc.nat({ max: 24 })), (list, repeats) => {
      const { log, end } = buildLog(list);
      repeats.forEach((at, index) => {
        const again = log[at % log.length];
        end.replay(log.length + index, again?.value);
      });
      const once = buildLog(list).end.view();
      expect(end.view().document).to.deep.equal(once.document);
      expect(end.view().versions).to.deep.equal(once.versions);
    });
    fc.assert(property, RUNS);
  });

  it('lets a peer catch up with one that has a short history', () => {
    const property = fc.property(
      steps,
      fc.nat({ max: 20 }),
      fc.nat({ max: 3 }),
      (list, cut, limit) => {
        const { log, end } = buildLog(list);
        const ahead = readFrom(log, 0);
        const behind = readFrom(log.slice(0, Math.min(cut, log.length)), 0);
        for (let turn = 0; turn < log.length + 1; turn += 1) {
          const offset = behind.aggregate().offset();
          behind.applyHandover(ahead.handover(offset, limit + 1));
        }
        expect(behind.aggregate().view()).to.deep.equal(end.view());
      },
    );
    fc.assert(property, RUNS);
  });
});
