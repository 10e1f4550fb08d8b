import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import {
  createCrashEvidence,
  createQuarantine,
  fingerprintOf,
  countSuccessiveCrashes,
} from '../src/quarantine/index.js';
import type { CrashEvidence, RequestQuarantine } from '../src/quarantine/index.js';
import type { News } from '../src/quarantine/news.js';

const fingerprint = (n: number): string => n.toString(16).padStart(32, '0');
const HARMFUL = fingerprint(1);

const startEvidence = () => {
  const clock = createManualClock(1_000_000);
  const evidence = createCrashEvidence(clock);
  /** The request is sent, and the upstream ends this long afterwards. */
  const crash = (evidenceOf: CrashEvidence, of: string, instance: string, sentAt: number) =>
    evidenceOf.recordCrash(of, { instance, sentAt, endedAt: sentAt + 50 });
  return { clock, evidence, crash };
};

describe('evidence of requests that crash upstreams', () => {
  // A request ends its upstream; it comes again, and ends the next; and again. From the third crash on it is
  // not sent any more: each crash stops a group of 63 ranks for seconds.
  it('puts a request into quarantine that crashed three upstreams one after the other', async () => {
    const { clock, evidence, crash } = startEvidence();
    expect(evidence.verdict(HARMFUL)).to.equal('clear');
    for (const instance of ['a', 'b', 'c']) {
      crash(evidence, HARMFUL, instance, clock.monotonic());
      await clock.advance(900);
    }
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
  });

  // The same, sent by three callers at once before anybody knew: three upstreams end together. That alone
  // looks as upstreams that lose power do; the next send that ends one more tells.
  it('needs a second round where the crashes came together', async () => {
    const { clock, evidence, crash } = startEvidence();
    const at = clock.monotonic();
    ['a', 'b', 'c'].forEach((instance) => crash(evidence, HARMFUL, instance, at));
    expect(evidence.verdict(HARMFUL)).to.equal('suspect');
    await clock.advance(2_000);
    crash(evidence, HARMFUL, 'd', clock.monotonic());
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
  });

  // A popular request runs at ten upstreams that lose power at once, and a moment later at ten that lose it
  // again. It ran well all day: nobody is refused for it.
  it('does not take a popular request for harmful when many upstreams end at once', async () => {
    const { clock, evidence, crash } = startEvidence();
    evidence.recordSuccess(HARMFUL, clock.monotonic());
    for (let round = 0; round < 2; round += 1) {
      await clock.advance(1_000);
      for (let at = 0; at < 10; at += 1) {
        crash(evidence, HARMFUL, `i-${round}-${at}`, clock.monotonic());
      }
    }
    expect(evidence.verdict(HARMFUL)).to.equal('clear');
    // Not even held to one attempt at a time, which would refuse two fifths of its class.
    await clock.advance(1_000);
    evidence.recordSuccess(HARMFUL, clock.monotonic());
    expect(evidence.suspectRecord(HARMFUL)).to.equal(undefined);
  });

  // One caller's request is under way at an upstream that crashes, twice, by bad luck. The third time it runs well.
  it('clears a request that runs well', async () => {
    const { clock, evidence, crash } = startEvidence();
    crash(evidence, HARMFUL, 'a', clock.monotonic());
    await clock.advance(500);
    crash(evidence, HARMFUL, 'b', clock.monotonic());
    await clock.advance(500);
    evidence.recordSuccess(HARMFUL, clock.monotonic());
    expect(evidence.verdict(HARMFUL)).to.equal('clear');
    // News of the older crashes that come late change nothing.
    expect(crash(evidence, HARMFUL, 'c', clock.monotonic() - 600).isNew).to.equal(false);
  });

  // A quarantine ends by age. If the request still crashes what runs it, one crash is enough for the next one.
  it('begins again with one crash after a quarantine has run out', async () => {
    const { clock, evidence, crash } = startEvidence();
    evidence.recordQuarantine(HARMFUL, clock.monotonic(), clock.monotonic() + 60_000);
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
    await clock.advance(60_001);
    expect(evidence.verdict(HARMFUL)).to.equal('suspect');
    crash(evidence, HARMFUL, 'd', clock.monotonic());
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
  });

  it('keeps a bounded number of cases and forgets old crashes', async () => {
    const { clock, evidence, crash } = startEvidence();
    for (let n = 0; n < 3_000; n += 1) crash(evidence, fingerprint(n), 'a', clock.monotonic());
    expect(evidence.fingerprints()).to.have.lengthOf(1_024);
    await clock.advance(600_100);
    expect(evidence.fingerprints()).to.have.lengthOf(0);
  });

  it('counts sends one after the other, whatever order they are heard of in', () => {
    const crashes = [
      { instance: 'c', sentAt: 300, endedAt: 320 },
      { instance: 'a', sentAt: 0, endedAt: 90 },
      { instance: 'b', sentAt: 10, endedAt: 100 },
      { instance: 'd', sentAt: 95, endedAt: 120 },
    ];
    expect(countSuccessiveCrashes(crashes)).to.equal(3);
    expect(countSuccessiveCrashes([])).to.equal(0);
  });

  it('tells requests apart by method, path, organisation and body, and by nothing else', () => {
    const base = { method: 'POST', path: '/p/1', organisation: 'o', body: Buffer.from('b') };
    const others = [
      { method: 'PUT' },
      { path: '/p/2' },
      { organisation: undefined },
      { body: Buffer.from('c') },
    ];
    const all = [base, ...others.map((other) => ({ ...base, ...other }))].map(fingerprintOf);
    expect(new Set(all).size).to.equal(5);
    expect(fingerprintOf({ ...base, body: Buffer.from('b') })).to.equal(all[0]);
  });
});

interface Node {
  quarantine: RequestQuarantine;
  news: News[];
  records: Map<string, Uint8Array | undefined>;
}

const clockForNodes = () => createManualClock(5_000_000);

const startNode = (clock = clockForNodes(), canPublish = () => true): Node => {
  const news: News[] = [];
  const records = new Map<string, Uint8Array | undefined>();
  const quarantine = createQuarantine({
    tell: (told) => news.push(told),
    publish: async (key, value) => {
      if (!canPublish()) return false;
      records.set(key, value);
      return true;
    },
    clock,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  return { quarantine, news, records };
};

const start = (instance: string) => ({ instance, startedAt: 0 });

/** The request is sent to an upstream, whose connections are refused a moment later. */
const crashAt = async (node: Node, clock: ReturnType<typeof clockForNodes>, instance: string) => {
  const run = node.quarantine.begin(HARMFUL, start(instance));
  await clock.advance(20);
  run.end();
  await clock.advance(80);
  node.quarantine.noteEnded(start(instance), 'refused-connection');
  await clock.advance(100);
};

/** The request crashes three upstreams, and the node sees its record written and dropped again; the record. */
const recordAndDrop = async (node: Node, clock: ReturnType<typeof clockForNodes>) => {
  for (const instance of ['a', 'b', 'c']) await crashAt(node, clock, instance);
  const value = node.records.get(HARMFUL);
  node.quarantine.takeRecord({ key: HARMFUL, value });
  node.quarantine.takeRecord({ key: HARMFUL, value: undefined });
  return value;
};

describe('the quarantine of one entry', () => {
  // A reset alone proves nothing: upstreams reset connections beyond their limit and break off answers.
  it('does not count a lost attempt whose upstream lives', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    for (let n = 0; n < 5; n += 1) node.quarantine.begin(HARMFUL, start(`i${n}`)).end();
    await clock.advance(1_000);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    expect(node.news).to.deep.equal([]);
  });

  // The upstream is found to have ended only when it is listed again some seconds later; or first, while
  // the attempt there is still open.
  it('counts an attempt that was lost before its upstream is known to have ended, or after', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    node.quarantine.begin(HARMFUL, start('a')).end();
    await clock.advance(5_000);
    node.quarantine.noteEnded(start('a'), 'started-again');
    const open = node.quarantine.begin(HARMFUL, start('b'));
    node.quarantine.noteEnded(start('b'), 'refused-connection');
    open.end();
    await clock.advance(50);
    expect(
      node.news.flatMap(({ crashes }) => crashes.map(({ instance }) => instance)),
    ).to.deep.equal(['a@0', 'b@0']);
  });

  // An upstream that dies of its first token may still have sent an event; one that goes on does not die of it.
  it('takes a stream for sound only when its events go on', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    const short = node.quarantine.begin(HARMFUL, start('a'));
    short.noteEvent();
    await clock.advance(30);
    short.end();
    node.quarantine.noteEnded(start('a'), 'refused-connection');
    const sound = node.quarantine.begin(fingerprint(2), start('b'));
    sound.noteEvent();
    await clock.advance(600);
    sound.noteEvent();
    sound.end();
    node.quarantine.noteEnded(start('b'), 'refused-connection');
    await clock.advance(50);
    const told = node.news.flatMap(({ crashes }) => crashes.map((crash) => crash.fingerprint));
    expect(told).to.deep.equal([HARMFUL]);
  });

  // All ranks lose power with 300 requests under way, each its caller's own. All come back, and are served.
  it('refuses none of those that were under way when all upstreams ended', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    const runs = Array.from({ length: 300 }, (_, n) =>
      node.quarantine.begin(fingerprint(n), start(`i${n % 60}`)),
    );
    for (let n = 0; n < 60; n += 1) node.quarantine.noteEnded(start(`i${n}`), 'refused-connection');
    runs.forEach((run) => run.end());
    await clock.advance(1_000);
    const refused = runs.filter((_, n) => node.quarantine.refusal(fingerprint(n)) !== undefined);
    expect(refused).to.have.lengthOf(0);
  });

  // A request that may be harmful comes from several callers at once: each send may stop a whole group.
  it('tries a suspect at one upstream at a time, here and at other entries', async () => {
    const clock = clockForNodes();
    const [here, there] = [startNode(clock), startNode(clock)];
    await crashAt(here, clock, 'a');
    await crashAt(here, clock, 'b');
    here.news.forEach((told) => there.quarantine.takeNews('here', told));
    const run = here.quarantine.begin(HARMFUL, start('c'));
    await clock.advance(50);
    there.quarantine.takeNews('here', here.news.at(-1));
    expect(here.quarantine.refusal(HARMFUL)).to.deep.equal({ reason: 'crash-suspect' });
    expect(there.quarantine.refusal(HARMFUL)).to.deep.equal({ reason: 'crash-suspect' });
    run.noteWhole();
    run.end();
    await clock.advance(50);
    there.quarantine.takeNews('here', here.news.at(-1));
    expect(here.quarantine.refusal(HARMFUL)).to.equal(undefined);
    expect(there.quarantine.refusal(HARMFUL)).to.equal(undefined);
  });

  // The crashes are seen at three entries, one each; all of them, one that is linked later, and one that starts
  // when all are gone refuse the request.
  it('reaches the other entries, and those that start later by the record', async () => {
    const clock = clockForNodes();
    const nodes = [startNode(clock), startNode(clock), startNode(clock)];
    for (const [at, node] of nodes.entries()) {
      await crashAt(node, clock, `i${at}`);
      node.news.forEach((told) =>
        nodes.forEach((other) => other.quarantine.takeNews(`n${at}`, told)),
      );
    }
    const [first] = nodes;
    const linkedLater = startNode(clock);
    linkedLater.quarantine.takeNews('n0', first?.quarantine.whole());
    const startedLater = startNode(clock);
    const written = nodes.flatMap(({ records }) => [...records]);
    expect(written.map(([key]) => key)).to.deep.equal([HARMFUL]);
    written.forEach(([key, value]) => startedLater.quarantine.takeRecord({ key, value }));
    const reasons = [...nodes, linkedLater, startedLater].map(
      ({ quarantine }) => quarantine.refusal(HARMFUL)?.reason,
    );
    expect(reasons).to.deep.equal(new Array(5).fill('quarantined'));
  });

  // The entry that saw the last crash was killed while the platform was down: its peers write the record.
  it('writes the record of a quarantine that another entry could not write', async () => {
    const clock = clockForNodes();
    let isUp = false;
    const [dead, peer] = [startNode(clock, () => false), startNode(clock, () => isUp)];
    for (const instance of ['a', 'b', 'c']) {
      await crashAt(dead, clock, instance);
      dead.news.splice(0).forEach((told) => peer.quarantine.takeNews('dead', told));
    }
    await clock.advance(5_000);
    expect(peer.records.size).to.equal(0);
    isUp = true;
    await clock.advance(1_500);
    expect([...peer.records.keys()]).to.deep.equal([HARMFUL]);
  });

  // An operator drops the key, or the request ran well somewhere: it is served again at all entries.
  it('ends when the record is dropped', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    await recordAndDrop(node, clock);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    // What a peer tells of the time before is outdated.
    const peer = startNode(clock);
    node.news.forEach((told) => peer.quarantine.takeNews('n', told));
    node.quarantine.takeNews('p', peer.quarantine.whole());
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
  });

  // The platform's log is restored from a copy from before the quarantine. Entries that start later would send the
  // request to three more upstreams before it is in quarantine again.
  it('is written again when a restored log lacks its record, by one entry where that one can', async () => {
    const clock = clockForNodes();
    const [reader, peer] = [startNode(clock), startNode(clock)];
    for (const instance of ['a', 'b', 'c']) {
      await crashAt(reader, clock, instance);
      reader.news.splice(0).forEach((told) => peer.quarantine.takeNews('reader', told));
    }
    const value = reader.records.get(HARMFUL);
    [reader, peer].forEach(({ quarantine, records }) => {
      quarantine.takeRecord({ key: HARMFUL, value });
      records.clear();
    });
    reader.quarantine.noteRestored([HARMFUL], 'log');
    peer.quarantine.noteRestored([HARMFUL], 'peer');
    await clock.advance(100);
    expect([...reader.records.keys()]).to.deep.equal([HARMFUL]);
    peer.quarantine.takeRecord({ key: HARMFUL, value: reader.records.get(HARMFUL) });
    await clock.advance(5_000);
    expect([...peer.records.keys()]).to.deep.equal([]);
  });

  it('is written by another entry where the one that reads the log can not', async () => {
    const clock = clockForNodes();
    const peer = startNode(clock);
    for (const instance of ['a', 'b', 'c']) await crashAt(peer, clock, instance);
    peer.quarantine.takeRecord({ key: HARMFUL, value: peer.records.get(HARMFUL) });
    peer.records.clear();
    peer.quarantine.noteRestored([HARMFUL], 'peer');
    await clock.advance(5_000);
    expect([...peer.records.keys()]).to.deep.equal([HARMFUL]);
  });

  // The request ran well and its record was dropped; the restored log has the record again. Entries that start later
  // would refuse a sound request for ten minutes.
  it('is dropped again when a restored log brings back the record of a request that ran well', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    const value = await recordAndDrop(node, clock);
    node.records.clear();
    await clock.advance(1_000);
    node.quarantine.takeRecord({ key: HARMFUL, value });
    node.quarantine.noteRestored([], 'log');
    await clock.advance(100);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    expect([...node.records]).to.deep.equal([[HARMFUL, undefined]]);
  });

  it('drops notes and records that are not sound', () => {
    const node = startNode();
    const crash = { fingerprint: HARMFUL, instance: 'a', sentAgoMs: 5, endedAgoMs: 1 };
    const sound = { crashes: [crash], quarantined: [], sound: [], tried: [] };
    const unsound: unknown[] = [
      undefined,
      'text',
      {},
      { ...sound, crashes: [{ ...crash, fingerprint: 'x' }] },
      { ...sound, crashes: [{ ...crash, sentAgoMs: -1 }] },
      { ...sound, crashes: [{ ...crash, endedAgoMs: 9 }] },
      { ...sound, crashes: new Array(300).fill(crash) },
      { ...sound, quarantined: [{ fingerprint: HARMFUL, sinceAgoMs: 0, leftMs: NaN }] },
      { ...sound, tried: [1] },
    ];
    unsound.forEach((value) => node.quarantine.takeNews('p', value));
    node.quarantine.takeRecord({ key: HARMFUL, value: Buffer.from('{"since":5,"until":1}') });
    node.quarantine.takeRecord({ key: HARMFUL, value: Buffer.from('no') });
    expect(node.quarantine.whole().crashes).to.deep.equal([]);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
  });
});
