import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import type { ManualClock } from '@plantaindrum/common';
import { createPartEvidence } from '../src/quarantine/part-evidence.js';
import type { PartEvidence } from '../src/quarantine/part-evidence.js';
import { startQuarantineNode } from './support/quarantine-node.js';
import type { QuarantineNode } from './support/quarantine-node.js';

const HARMFUL = 'bad0';
const MAX_PLATFORM_RECORD_BYTES = 262_144;
const HARMLESS = '0a';
const COMPANION = '0c';

const startEvidence = () => {
  const clock = createManualClock(1_000_000);
  const evidence = createPartEvidence(clock);
  let requests = 0;
  /** Records a crash of an upstream in which a new request with these parts was in flight for 50 ms. */
  const crash = async (instance: string, sharedParts: readonly string[]): Promise<void> => {
    requests += 1;
    const sentAt = clock.monotonic();
    await clock.advance(50);
    const endedAt = clock.monotonic();
    const fingerprint = `f${requests}`;
    evidence.recordCrashes([
      { instance, fingerprint, sharedParts, sentAt, endedAt, reporter: 'e' },
    ]);
    await clock.advance(500);
  };
  return { clock, evidence, crash };
};

const isRefused = (evidence: PartEvidence, parts: readonly string[]): boolean =>
  evidence.causeIn(parts) !== undefined;

describe('evidence of parts of prompts that crash upstreams', () => {
  // Different requests with one part crash three upstreams, one after the other. The next one would crash a fourth.
  it('refuses requests with a part that was in flight in three crashes', async () => {
    const { evidence, crash } = startEvidence();
    await crash('a', ['01', HARMFUL]);
    await crash('b', [HARMFUL, '02']);
    expect(isRefused(evidence, [HARMFUL])).to.equal(false);
    await crash('c', ['03', HARMFUL]);
    expect(isRefused(evidence, ['04', HARMFUL])).to.equal(true);
    expect(isRefused(evidence, ['01', '02', '03'])).to.equal(false);
  });

  // One request is retried after each crash that another one causes. Its parts would be refused, and its own
  // quarantine deals with it if it is harmful itself.
  it('accuses no part of a single request', () => {
    const { clock, evidence } = startEvidence();
    for (let n = 0; n < 8; n += 1) {
      const endedAt = clock.monotonic() + n * 100;
      evidence.recordCrashes([
        {
          ...{ instance: `i${n}`, fingerprint: 'same', sharedParts: [HARMLESS] },
          ...{ sentAt: endedAt - 50, endedAt, reporter: 'e' },
        },
      ]);
    }
    expect(isRefused(evidence, [HARMLESS])).to.equal(false);
  });

  // Two parts occur in the same crashes. A request with one of them alone shows which one is harmful; refusing both
  // would refuse sound requests for as long as the evidence lasts.
  it('refuses inseparable parts only together, until a success clears one of them', async () => {
    const { clock, evidence, crash } = startEvidence();
    for (const instance of ['a', 'b', 'c']) await crash(instance, [COMPANION, HARMFUL]);
    expect(isRefused(evidence, [COMPANION, HARMFUL])).to.equal(true);
    expect(isRefused(evidence, [COMPANION])).to.equal(false);
    expect(isRefused(evidence, [HARMFUL])).to.equal(false);
    evidence.recordSuccess(COMPANION, clock.monotonic());
    expect(isRefused(evidence, [HARMFUL])).to.equal(true);
    expect(isRefused(evidence, [COMPANION])).to.equal(false);
  });

  // A part that nearly all requests share is in flight in each crash. If it were preferred to the harmful one, nearly
  // all requests would be refused.
  it('prefers a part without a success to one with which requests have succeeded', async () => {
    const { clock, evidence, crash } = startEvidence();
    evidence.recordSuccess(HARMLESS, clock.monotonic());
    for (const instance of ['a', 'b', 'c', 'd', 'e']) {
      await crash(instance, [HARMLESS, HARMFUL]);
    }
    expect(isRefused(evidence, [HARMLESS])).to.equal(false);
    expect(isRefused(evidence, [HARMFUL])).to.equal(true);
  });

  // A part may turn harmful after requests with it have succeeded, for example with another version of the upstreams.
  it('accuses a part with earlier successes after one more crash', async () => {
    const { clock, evidence, crash } = startEvidence();
    evidence.recordSuccess(HARMFUL, clock.monotonic());
    for (const instance of ['a', 'b', 'c']) await crash(instance, [HARMFUL]);
    expect(isRefused(evidence, [HARMFUL])).to.equal(false);
    await crash('d', [HARMFUL]);
    expect(isRefused(evidence, [HARMFUL])).to.equal(true);
  });

  // Upstreams are killed in numbers, and by chance some of the requests there share a rare part each time.
  it('accuses no part that was in flight in a few of many crashes', async () => {
    const { evidence, crash } = startEvidence();
    for (let n = 0; n < 30; n += 1) {
      await crash(`i${n}`, n % 10 === 0 ? [HARMLESS] : [`${100 + n}`]);
    }
    expect(isRefused(evidence, [HARMLESS])).to.equal(false);
  });

  // Three of eight upstreams are killed at a time, again and again. A part that requests at one of the three share each
  // time explains a third of each loss only.
  it('accuses no part that explains few of the upstreams that end together', async () => {
    const { clock, evidence } = startEvidence();
    for (let loss = 0; loss < 5; loss += 1) {
      const endedAt = clock.monotonic();
      for (let n = 0; n < 3; n += 1) {
        evidence.recordCrashes([
          {
            ...{ instance: `i${loss}-${n}`, fingerprint: `f${loss}-${n}` },
            ...{ sharedParts: n === 0 ? [HARMLESS] : [`${100 + loss}`], reporter: 'e' },
            ...{ sentAt: endedAt - 200, endedAt: endedAt + 10 * n },
          },
        ]);
      }
      await clock.advance(900);
    }
    expect(isRefused(evidence, [HARMLESS])).to.equal(false);
  });

  // All upstreams lose power at one moment, three times in a row, with hundreds of requests in flight. Requests with the
  // popular part succeed in between.
  it('accuses no part when many upstreams end together', async () => {
    const { clock, evidence } = startEvidence();
    for (let loss = 0; loss < 3; loss += 1) {
      const endedAt = clock.monotonic();
      for (let n = 0; n < 100; n += 1) {
        evidence.recordCrashes([
          {
            ...{ instance: `i${loss}-${n % 16}`, fingerprint: `f${loss}-${n}` },
            ...{ sharedParts: [HARMLESS, `${n}`], sentAt: endedAt - 200, endedAt, reporter: 'e' },
          },
        ]);
      }
      await clock.advance(1_000);
      evidence.recordSuccess(HARMLESS, clock.monotonic());
      await clock.advance(1_000);
    }
    expect(isRefused(evidence, [HARMLESS])).to.equal(false);
  });

  // Two harmful parts crash upstreams in turn; neither explains most of the crashes alone.
  it('finds two parts that crash upstreams in the same minutes', async () => {
    const { evidence, crash } = startEvidence();
    for (let n = 0; n < 8; n += 1) await crash(`i${n}`, [n % 2 === 0 ? HARMFUL : 'bad1', `${n}`]);
    expect(isRefused(evidence, [HARMFUL])).to.equal(true);
    expect(isRefused(evidence, ['bad1'])).to.equal(true);
  });

  // Hundreds of requests are in flight when all ranks of a large group lose power, and each entry tells the others.
  it('takes in the reports of a loss of power within a moment', () => {
    const { clock, evidence } = startEvidence();
    const endedAt = clock.monotonic();
    const report = (n: number) => ({
      ...{ instance: `i${n % 192}`, fingerprint: `f${n}`, reporter: 'e' },
      ...{ sharedParts: [`${n % 5}`, `${100 + (n % 40)}`, `${1_000 + (n % 300)}`] },
      ...{ sentAt: endedAt - 300, endedAt },
    });
    const startedAt = performance.now();
    for (let note = 0; note < 8; note += 1) {
      evidence.recordCrashes(Array.from({ length: 256 }, (_, n) => report(note * 256 + n)));
      evidence.causes();
    }
    expect(performance.now() - startedAt).to.be.below(1_000);
  });

  it('forgets crashes after a while, and keeps a bounded number', async () => {
    const { clock, evidence, crash } = startEvidence();
    for (let n = 0; n < 600; n += 1) await crash(`i${n}`, [HARMFUL]);
    expect(evidence.crashes()).to.have.lengthOf(512);
    expect(isRefused(evidence, [HARMFUL])).to.equal(true);
    await clock.advance(610_000);
    expect(isRefused(evidence, [HARMFUL])).to.equal(false);
  });
});

const fingerprint = (n: number): string => n.toString(16).padStart(32, '0');
const upstream = (instance: string) => ({ instance, startedAt: 0 });

/** Sends a request with these parts to an upstream, which crashes on it. */
const crashOn = async (
  { quarantine }: QuarantineNode,
  clock: ManualClock,
  n: number,
  sharedParts: readonly string[],
): Promise<void> => {
  const attempt = quarantine.begin(fingerprint(n), upstream(`i${n}`), sharedParts);
  await clock.advance(20);
  attempt.end();
  await clock.advance(80);
  quarantine.handleEnd(upstream(`i${n}`), 'refused-connection');
  await clock.advance(100);
};

const refusalOf = ({ quarantine }: QuarantineNode, sharedParts: readonly string[]) =>
  quarantine.refusal(fingerprint(99), sharedParts)?.reason;

const tell = (from: QuarantineNode, to: readonly QuarantineNode[], node: string): void =>
  from.updates
    .splice(0)
    .forEach((update) => to.forEach(({ quarantine }) => quarantine.handlePeerUpdate(node, update)));

describe('the quarantine of parts of prompts', () => {
  // Each entry sees one crash only.
  it('adds up the crashes that different entries have seen', async () => {
    const clock = createManualClock(5_000_000);
    const entries = [0, 1, 2].map((n) => startQuarantineNode(clock, `e${n}`));
    for (const [n, entry] of entries.entries()) {
      await crashOn(entry, clock, n, [HARMFUL, `${n}`]);
      tell(entry, entries, `e${n}`);
    }
    const linkedLater = startQuarantineNode(clock, 'e3');
    linkedLater.quarantine.handlePeerUpdate('e0', entries[0]?.quarantine.fullUpdate());
    expect([...entries, linkedLater].map((entry) => refusalOf(entry, [HARMFUL]))).to.deep.equal(
      new Array(4).fill('part-quarantined'),
    );
  });

  // All entries are killed after two crashes, and again after the third. An entry that starts has no other way to what
  // they knew than their records.
  it('survives the loss of all entries by their records', async () => {
    const clock = createManualClock(5_000_000);
    const records = new Map<string, Uint8Array | undefined>();
    const restart = (node: string): QuarantineNode => {
      const entry = startQuarantineNode(clock, node);
      records.forEach((value, key) => entry.quarantine.applyRecord({ key, value }));
      return entry;
    };
    for (const [n, node] of ['e0', 'e1', 'e0'].entries()) {
      const entry = restart(node);
      expect(refusalOf(entry, [HARMFUL])).to.equal(undefined);
      await crashOn(entry, clock, n, [HARMFUL, `${n}`]);
      entry.records.forEach((value, key) => records.set(key, value));
    }
    expect(refusalOf(restart('e2'), [HARMFUL])).to.equal('part-quarantined');
    // An operator ends the quarantine by deleting the records.
    const entry = restart('e3');
    [...records.keys()].forEach((key) => entry.quarantine.applyRecord({ key, value: undefined }));
    expect(refusalOf(entry, [HARMFUL])).to.equal(undefined);
  });

  // One entry has seen a part in crashes only; another one knows that requests with it succeed.
  it('is told of successes by the entries that know of them', async () => {
    const clock = createManualClock(5_000_000);
    const [crashing, knowing] = [
      startQuarantineNode(clock, 'e0'),
      startQuarantineNode(clock, 'e1'),
    ];
    for (const n of [0, 1]) await crashOn(crashing, clock, n, [HARMLESS]);
    const attempt = knowing.quarantine.begin(fingerprint(5), upstream('ok'), [HARMLESS]);
    attempt.recordEvent();
    await clock.advance(300);
    attempt.recordEvent();
    tell(crashing, [knowing], 'e0');
    await clock.advance(100);
    tell(knowing, [crashing], 'e1');
    await crashOn(crashing, clock, 2, [HARMLESS]);
    expect(refusalOf(crashing, [HARMLESS])).to.equal(undefined);
  });

  // A rank that crashes stops its group, and the streams of all other ranks break off though they had begun.
  it('clears the parts of a stream that had begun at an upstream that goes on running', async () => {
    const clock = createManualClock(5_000_000);
    const entry = startQuarantineNode(clock, 'e0');
    for (const n of [0, 1, 2]) await crashOn(entry, clock, n, [HARMLESS, HARMFUL]);
    const stalled = entry.quarantine.begin(fingerprint(5), upstream('other'), [HARMLESS]);
    stalled.recordEvent();
    await clock.advance(1_500);
    stalled.end();
    entry.quarantine.handleAlive(upstream('other'));
    expect(refusalOf(entry, [HARMFUL])).to.equal('part-quarantined');
    expect(refusalOf(entry, [HARMLESS])).to.equal(undefined);
  });

  // An error answer or an empty stream doesn't show that the upstream begins an answer on the part.
  it('is not ended by an answer that is no success', async () => {
    const clock = createManualClock(5_000_000);
    const entry = startQuarantineNode(clock, 'e0');
    for (const n of [0, 1]) await crashOn(entry, clock, n, [HARMFUL]);
    entry.quarantine.begin(fingerprint(5), upstream('a'), [HARMFUL]).complete(500);
    entry.quarantine.begin(fingerprint(6), upstream('b'), [HARMFUL]).complete();
    await crashOn(entry, clock, 2, [HARMFUL]);
    expect(refusalOf(entry, [HARMFUL])).to.equal('part-quarantined');
  });

  // A second upstream crashes while the record of the first crash is being written. An entry that starts later would know of
  // one crash only.
  it('writes its record again when it has changed during the write', async () => {
    const clock = createManualClock(5_000_000);
    const entry = startQuarantineNode(clock, 'e0');
    for (const n of [0, 1, 2]) {
      entry.quarantine.begin(fingerprint(n), upstream(`i${n}`), [HARMFUL]);
      entry.quarantine.handleEnd(upstream(`i${n}`), 'refused-connection');
    }
    await clock.advance(100);
    const [[key = '', value] = []] = [...entry.records];
    const started = startQuarantineNode(clock, 'e1');
    started.quarantine.applyRecord({ key, value });
    expect(started.quarantine.fullUpdate().partCrashes).to.have.lengthOf(3);
  });

  // The platform refuses larger records, and the entry would try to write it again and again.
  it('writes no record that is larger than the platform takes', async () => {
    const clock = createManualClock(5_000_000);
    const entry = startQuarantineNode(clock, 'e0');
    const parts = Array.from({ length: 64 }, (_, n) => n.toString(16).padStart(64, '0'));
    for (let n = 0; n < 200; n += 1) {
      entry.quarantine.begin(fingerprint(n), upstream(`i${n}`), parts);
      entry.quarantine.handleEnd(upstream(`i${n}`), 'refused-connection');
    }
    await clock.advance(100);
    const sizes = [...entry.records.values()].map((value) => value?.length ?? 0);
    expect(Math.max(...sizes)).to.be.within(1, MAX_PLATFORM_RECORD_BYTES);
  });

  it('ignores invalid reports and records, and accepts updates of earlier versions', () => {
    const clock = createManualClock(5_000_000);
    const entry = startQuarantineNode(clock, 'e0');
    const valid = { crashes: [], quarantined: [], sound: [], tried: [] };
    const crash = { fingerprint: fingerprint(1), instance: 'a', sentAgoMs: 5, endedAgoMs: 1 };
    const report = { ...crash, sharedParts: [HARMFUL], reporter: 'e1' };
    entry.quarantine.handlePeerUpdate('p', valid);
    const invalid: unknown[] = [
      { ...valid, partCrashes: [{ ...report, sharedParts: 'x' }] },
      { ...valid, partCrashes: [{ ...report, sharedParts: ['not hexadecimal'] }] },
      { ...valid, partCrashes: [{ ...report, reporter: 1 }] },
      { ...valid, partCrashes: [{ ...report, endedAgoMs: 9 }] },
      { ...valid, soundParts: [{ part: HARMFUL, agoMs: -1 }] },
    ];
    invalid.forEach((value) => entry.quarantine.handlePeerUpdate('p', value));
    const key = 'crashes/e1';
    entry.quarantine.applyRecord({ key, value: Buffer.from('{"crashes":[{}],"sound":[]}') });
    entry.quarantine.applyRecord({ key, value: Buffer.from('no') });
    expect(entry.quarantine.fullUpdate().partCrashes).to.deep.equal([]);
    entry.quarantine.handlePeerUpdate('p', { ...valid, partCrashes: [report] });
    expect(entry.quarantine.fullUpdate().partCrashes).to.have.lengthOf(1);
  });
});
