import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import {
  createCrashEvidence,
  fingerprintOf,
  countSuccessiveCrashes,
} from '../src/quarantine/index.js';
import type { CrashEvidence } from '../src/quarantine/index.js';
import { startQuarantineNode } from './support/quarantine-node.js';
import type { QuarantineNode } from './support/quarantine-node.js';

const fingerprint = (n: number): string => n.toString(16).padStart(32, '0');
const HARMFUL = fingerprint(1);

const startEvidence = () => {
  const clock = createManualClock(1_000_000);
  const evidence = createCrashEvidence(clock);
  /** Records that a request was sent to an upstream, which ended 50 ms later. */
  const crash = (target: CrashEvidence, request: string, instance: string, sentAt: number) =>
    target.recordCrash(request, { instance, sentAt, endedAt: sentAt + 50 });
  return { clock, evidence, crash };
};

describe('evidence of requests that crash upstreams', () => {
  // A request crashes its upstream and is sent again, crashing the next one, and again. After the third crash it is no
  // longer sent: each crash stops a group of 63 ranks for seconds.
  it('quarantines a request that crashed three upstreams one after the other', async () => {
    const { clock, evidence, crash } = startEvidence();
    expect(evidence.verdict(HARMFUL)).to.equal('clear');
    for (const instance of ['a', 'b', 'c']) {
      crash(evidence, HARMFUL, instance, clock.monotonic());
      await clock.advance(900);
    }
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
  });

  // Three callers send a harmful request at the same time, and three upstreams end together. That looks like a
  // power loss; only a further crash after the request was sent again proves that it is harmful.
  it('requires a later crash when the first ones came together', async () => {
    const { clock, evidence, crash } = startEvidence();
    const at = clock.monotonic();
    ['a', 'b', 'c'].forEach((instance) => crash(evidence, HARMFUL, instance, at));
    expect(evidence.verdict(HARMFUL)).to.equal('suspect');
    await clock.advance(2_000);
    crash(evidence, HARMFUL, 'd', clock.monotonic());
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
  });

  // A popular request is in flight at ten upstreams that lose power together, and at ten others a second later. As it
  // has succeeded before, it must not be refused.
  it('does not quarantine a popular request when many upstreams end together', async () => {
    const { clock, evidence, crash } = startEvidence();
    evidence.recordSuccess(HARMFUL, clock.monotonic());
    for (let loss = 0; loss < 2; loss += 1) {
      await clock.advance(1_000);
      for (let at = 0; at < 10; at += 1) {
        crash(evidence, HARMFUL, `i-${loss}-${at}`, clock.monotonic());
      }
    }
    expect(evidence.verdict(HARMFUL)).to.equal('clear');
    // It isn't limited to one attempt at a time either, which would refuse two fifths of such requests.
    await clock.advance(1_000);
    evidence.recordSuccess(HARMFUL, clock.monotonic());
    expect(evidence.suspectRecord(HARMFUL)).to.equal(undefined);
  });

  // A harmless request is in flight in two crashes by chance, and succeeds at its third attempt.
  it('clears a request that succeeds', async () => {
    const { clock, evidence, crash } = startEvidence();
    crash(evidence, HARMFUL, 'a', clock.monotonic());
    await clock.advance(500);
    crash(evidence, HARMFUL, 'b', clock.monotonic());
    await clock.advance(500);
    evidence.recordSuccess(HARMFUL, clock.monotonic());
    expect(evidence.verdict(HARMFUL)).to.equal('clear');
    // A late report of a crash before the success changes nothing.
    expect(crash(evidence, HARMFUL, 'c', clock.monotonic() - 600).isNew).to.equal(false);
  });

  // A quarantine expires. If the request still crashes upstreams, a single crash starts the next quarantine.
  it('quarantines a request again after a single crash when its quarantine has expired', async () => {
    const { clock, evidence, crash } = startEvidence();
    evidence.recordQuarantine(HARMFUL, clock.monotonic(), clock.monotonic() + 60_000);
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
    await clock.advance(60_001);
    expect(evidence.verdict(HARMFUL)).to.equal('suspect');
    crash(evidence, HARMFUL, 'd', clock.monotonic());
    expect(evidence.verdict(HARMFUL)).to.equal('quarantined');
  });

  it('keeps a bounded number of suspects and drops old crashes', async () => {
    const { clock, evidence, crash } = startEvidence();
    for (let n = 0; n < 3_000; n += 1) crash(evidence, fingerprint(n), 'a', clock.monotonic());
    expect(evidence.fingerprints()).to.have.lengthOf(1_024);
    await clock.advance(600_100);
    expect(evidence.fingerprints()).to.have.lengthOf(0);
  });

  it('counts successive crashes, in whatever order they are reported', () => {
    const crashes = [
      { instance: 'c', sentAt: 300, endedAt: 320 },
      { instance: 'a', sentAt: 0, endedAt: 90 },
      { instance: 'b', sentAt: 10, endedAt: 100 },
      { instance: 'd', sentAt: 95, endedAt: 120 },
    ];
    expect(countSuccessiveCrashes(crashes)).to.equal(3);
    expect(countSuccessiveCrashes([])).to.equal(0);
  });

  it('computes fingerprints from method, path, organisation and body only', () => {
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

const clockForNodes = () => createManualClock(5_000_000);

const startNode = (clock = clockForNodes(), canPublish = () => true): QuarantineNode =>
  startQuarantineNode(clock, 'entry', canPublish);

const start = (instance: string) => ({ instance, startedAt: 0 });

/** Sends the request to an upstream, whose connections are refused shortly afterwards. */
const crashAt = async (
  node: QuarantineNode,
  clock: ReturnType<typeof clockForNodes>,
  instance: string,
) => {
  const attempt = node.quarantine.begin(HARMFUL, start(instance));
  await clock.advance(20);
  attempt.end();
  await clock.advance(80);
  node.quarantine.handleEnd(start(instance), 'refused-connection');
  await clock.advance(100);
};

/** Crashes three upstreams, then lets the node see its record written and deleted again; returns the record. */
const recordAndDrop = async (node: QuarantineNode, clock: ReturnType<typeof clockForNodes>) => {
  for (const instance of ['a', 'b', 'c']) await crashAt(node, clock, instance);
  const value = node.records.get(HARMFUL);
  node.quarantine.applyRecord({ key: HARMFUL, value });
  node.quarantine.applyRecord({ key: HARMFUL, value: undefined });
  return value;
};

describe('the quarantine of one entry', () => {
  // A reset connection alone doesn't prove a crash: upstreams also reset connections beyond their limit, and break off
  // answers.
  it('does not count a lost attempt whose upstream is alive', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    for (let n = 0; n < 5; n += 1) node.quarantine.begin(HARMFUL, start(`i${n}`)).end();
    await clock.advance(1_000);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    expect(node.updates).to.deep.equal([]);
  });

  // The end of an upstream may be noticed some seconds after the attempt was lost, when the upstream is listed again,
  // or while the attempt is still in flight.
  it('counts an attempt that was lost before or after the end of its upstream was noticed', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    node.quarantine.begin(HARMFUL, start('a')).end();
    await clock.advance(5_000);
    node.quarantine.handleEnd(start('a'), 'started-again');
    const open = node.quarantine.begin(HARMFUL, start('b'));
    node.quarantine.handleEnd(start('b'), 'refused-connection');
    open.end();
    await clock.advance(50);
    expect(
      node.updates.flatMap(({ crashes }) => crashes.map(({ instance }) => instance)),
    ).to.deep.equal(['a@0', 'b@0']);
  });

  // Many upstreams end together. A request is retried at others that have ended as well, before that is noticed, and its
  // connections there are still being established when it is. Counted as crashes one after the other, these would
  // quarantine a sound request.
  it('does not count an attempt that began after its upstream had ended', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    for (const instance of ['a', 'b', 'c', 'd']) {
      node.quarantine.begin(fingerprint(9), start(instance)).end();
    }
    for (const instance of ['a', 'b', 'c', 'd']) {
      await clock.advance(20);
      const connecting = node.quarantine.begin(HARMFUL, start(instance));
      await clock.advance(5);
      node.quarantine.handleEnd(start(instance), 'refused-connection');
      connecting.recordNotRun();
      connecting.end();
    }
    await clock.advance(50);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    const reported = node.updates.flatMap(({ crashes }) =>
      crashes.map((crash) => crash.fingerprint),
    );
    expect(new Set(reported)).to.deep.equal(new Set([fingerprint(9)]));
  });

  // The same, where this entry has lost no connection to these upstreams before: their ends are noticed by another
  // attempt whose connection is refused.
  it('does not count an attempt that was never connected', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    for (const instance of ['a', 'b', 'c', 'd']) {
      const connecting = node.quarantine.begin(HARMFUL, start(instance), [], 'pending');
      await clock.advance(5);
      node.quarantine.handleEnd(start(instance), 'refused-connection');
      connecting.recordNotRun();
      connecting.end();
      await clock.advance(20);
    }
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    expect(node.updates).to.deep.equal([]);
    const connected = node.quarantine.begin(HARMFUL, start('e'), [], 'pending');
    connected.recordConnected();
    node.quarantine.handleEnd(start('e'), 'refused-connection');
    await clock.advance(50);
    expect(node.updates.flatMap(({ crashes }) => crashes)).to.have.lengthOf(1);
  });

  // A caller leaves while its request is being connected, and the upstream crashes half a second later. If the end of that
  // attempt were taken for the crash, requests that were sent after it would not count as in flight in the crash.
  it('does not date a crash to the end of an attempt that was never connected', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    node.quarantine.begin(fingerprint(2), start('a'), [], 'pending').end();
    await clock.advance(400);
    node.quarantine.begin(HARMFUL, start('a'));
    await clock.advance(100);
    node.quarantine.handleEnd(start('a'), 'refused-connection');
    await clock.advance(50);
    const reported = node.updates.flatMap(({ crashes }) =>
      crashes.map((crash) => crash.fingerprint),
    );
    expect(reported).to.deep.equal([HARMFUL]);
  });

  // An upstream that crashes on its first token may still have sent an event. Only one that keeps sending events
  // doesn't crash on the request.
  it('counts a stream as a success only when its events continue', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    const shortStream = node.quarantine.begin(HARMFUL, start('a'));
    shortStream.recordEvent();
    await clock.advance(30);
    shortStream.end();
    node.quarantine.handleEnd(start('a'), 'refused-connection');
    const longStream = node.quarantine.begin(fingerprint(2), start('b'));
    longStream.recordEvent();
    await clock.advance(600);
    longStream.recordEvent();
    longStream.end();
    node.quarantine.handleEnd(start('b'), 'refused-connection');
    await clock.advance(50);
    const reported = node.updates.flatMap(({ crashes }) =>
      crashes.map((crash) => crash.fingerprint),
    );
    expect(reported).to.deep.equal([HARMFUL]);
  });

  // A request crashes an upstream, gets an error from one that fails half of its requests without running them, and
  // crashes the next one. If the error cleared it, it would never be quarantined.
  it('does not take an error answer for a success', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    for (const instance of ['a', 'b', 'c']) {
      const failed = node.quarantine.begin(HARMFUL, start(`failing-${instance}`));
      failed.complete(500);
      expect(failed.hasSurvived()).to.equal(true);
      failed.end();
      await crashAt(node, clock, instance);
    }
    expect(node.quarantine.refusal(HARMFUL)?.reason).to.equal('quarantined');
  });

  // All ranks lose power while 300 different requests are in flight. Each is sent again and must be served.
  it('refuses no request that was in flight when all upstreams ended together', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    const attempts = Array.from({ length: 300 }, (_, n) =>
      node.quarantine.begin(fingerprint(n), start(`i${n % 60}`)),
    );
    for (let n = 0; n < 60; n += 1) node.quarantine.handleEnd(start(`i${n}`), 'refused-connection');
    attempts.forEach((attempt) => attempt.end());
    await clock.advance(1_000);
    const refused = attempts.filter(
      (_, n) => node.quarantine.refusal(fingerprint(n)) !== undefined,
    );
    expect(refused).to.have.lengthOf(0);
  });

  // Several callers send a suspect request at the same time, and each attempt may stop a whole group.
  it('sends a suspect request to one upstream at a time, across all entries', async () => {
    const clock = clockForNodes();
    const [local, peer] = [startNode(clock), startNode(clock)];
    await crashAt(local, clock, 'a');
    await crashAt(local, clock, 'b');
    local.updates.forEach((update) => peer.quarantine.handlePeerUpdate('here', update));
    const attempt = local.quarantine.begin(HARMFUL, start('c'));
    await clock.advance(50);
    peer.quarantine.handlePeerUpdate('here', local.updates.at(-1));
    expect(local.quarantine.refusal(HARMFUL)).to.deep.equal({ reason: 'crash-suspect' });
    expect(peer.quarantine.refusal(HARMFUL)).to.deep.equal({ reason: 'crash-suspect' });
    attempt.complete();
    attempt.end();
    await clock.advance(50);
    peer.quarantine.handlePeerUpdate('here', local.updates.at(-1));
    expect(local.quarantine.refusal(HARMFUL)).to.equal(undefined);
    expect(peer.quarantine.refusal(HARMFUL)).to.equal(undefined);
  });

  // Three entries see one crash each. All three must refuse the request, and so must an entry that is linked later and
  // one that starts after all others have stopped.
  it('shares a quarantine with the other entries, and by its record with those that start later', async () => {
    const clock = clockForNodes();
    const nodes = [startNode(clock), startNode(clock), startNode(clock)];
    for (const [at, node] of nodes.entries()) {
      await crashAt(node, clock, `i${at}`);
      node.updates.forEach((update) =>
        nodes.forEach((other) => other.quarantine.handlePeerUpdate(`n${at}`, update)),
      );
    }
    const [first] = nodes;
    const linkedLater = startNode(clock);
    linkedLater.quarantine.handlePeerUpdate('n0', first?.quarantine.fullUpdate());
    const startedLater = startNode(clock);
    const written = nodes.flatMap(({ records }) => [...records]);
    expect(written.map(([key]) => key)).to.deep.equal([HARMFUL]);
    written.forEach(([key, value]) => startedLater.quarantine.applyRecord({ key, value }));
    const reasons = [...nodes, linkedLater, startedLater].map(
      ({ quarantine }) => quarantine.refusal(HARMFUL)?.reason,
    );
    expect(reasons).to.deep.equal(new Array(5).fill('quarantined'));
  });

  // The entry that saw the last crash is killed while the platform is down, so that one of its peers has to write the
  // record.
  it('writes the record of a quarantine that another entry failed to write', async () => {
    const clock = clockForNodes();
    let isUp = false;
    const [killed, peer] = [startNode(clock, () => false), startNode(clock, () => isUp)];
    for (const instance of ['a', 'b', 'c']) {
      await crashAt(killed, clock, instance);
      killed.updates
        .splice(0)
        .forEach((update) => peer.quarantine.handlePeerUpdate('dead', update));
    }
    await clock.advance(5_000);
    expect(peer.records.size).to.equal(0);
    isUp = true;
    await clock.advance(1_500);
    expect([...peer.records.keys()]).to.deep.equal([HARMFUL]);
  });

  // When an operator deletes the record, or an entry at which the request succeeded, all entries serve the request
  // again.
  it('ends a quarantine when its record is deleted', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    await recordAndDrop(node, clock);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    // A peer's reports from before the deletion are outdated.
    const peer = startNode(clock);
    node.updates.forEach((update) => peer.quarantine.handlePeerUpdate('n', update));
    node.quarantine.handlePeerUpdate('p', peer.quarantine.fullUpdate());
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
  });

  // The platform's log is restored from a copy made before the quarantine. Without the record, entries that start
  // later would crash three more upstreams before they quarantine the request again.
  it('rewrites a record that a restored log lacks, once for all entries', async () => {
    const clock = clockForNodes();
    const [reader, peer] = [startNode(clock), startNode(clock)];
    for (const instance of ['a', 'b', 'c']) {
      await crashAt(reader, clock, instance);
      reader.updates
        .splice(0)
        .forEach((update) => peer.quarantine.handlePeerUpdate('reader', update));
    }
    const value = reader.records.get(HARMFUL);
    [reader, peer].forEach(({ quarantine, records }) => {
      quarantine.applyRecord({ key: HARMFUL, value });
      records.clear();
    });
    reader.quarantine.handleRestored([HARMFUL], 'log');
    peer.quarantine.handleRestored([HARMFUL], 'peer');
    await clock.advance(100);
    expect([...reader.records.keys()]).to.deep.equal([HARMFUL]);
    peer.quarantine.applyRecord({ key: HARMFUL, value: reader.records.get(HARMFUL) });
    await clock.advance(5_000);
    expect([...peer.records.keys()]).to.deep.equal([]);
  });

  it('rewrites a record when the entry that reads the log fails to do so', async () => {
    const clock = clockForNodes();
    const peer = startNode(clock);
    for (const instance of ['a', 'b', 'c']) await crashAt(peer, clock, instance);
    peer.quarantine.applyRecord({ key: HARMFUL, value: peer.records.get(HARMFUL) });
    peer.records.clear();
    peer.quarantine.handleRestored([HARMFUL], 'peer');
    await clock.advance(5_000);
    expect([...peer.records.keys()]).to.deep.equal([HARMFUL]);
  });

  // A request has succeeded and its record was deleted, but a restored log contains the record again. Entries that
  // start later would refuse a harmless request for ten minutes.
  it('deletes the record of a request that succeeded when a restored log brings it back', async () => {
    const clock = clockForNodes();
    const node = startNode(clock);
    const value = await recordAndDrop(node, clock);
    node.records.clear();
    await clock.advance(1_000);
    node.quarantine.applyRecord({ key: HARMFUL, value });
    node.quarantine.handleRestored([], 'log');
    await clock.advance(100);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
    expect([...node.records]).to.deep.equal([[HARMFUL, undefined]]);
  });

  it('ignores invalid updates and records', () => {
    const node = startNode();
    const crash = { fingerprint: HARMFUL, instance: 'a', sentAgoMs: 5, endedAgoMs: 1 };
    const valid = { crashes: [crash], quarantined: [], sound: [], tried: [] };
    const invalid: unknown[] = [
      undefined,
      'text',
      {},
      { ...valid, crashes: [{ ...crash, fingerprint: 'x' }] },
      { ...valid, crashes: [{ ...crash, sentAgoMs: -1 }] },
      { ...valid, crashes: [{ ...crash, endedAgoMs: 9 }] },
      { ...valid, crashes: new Array(300).fill(crash) },
      { ...valid, quarantined: [{ fingerprint: HARMFUL, sinceAgoMs: 0, leftMs: NaN }] },
      { ...valid, tried: [1] },
    ];
    invalid.forEach((value) => node.quarantine.handlePeerUpdate('p', value));
    node.quarantine.applyRecord({ key: HARMFUL, value: Buffer.from('{"since":5,"until":1}') });
    node.quarantine.applyRecord({ key: HARMFUL, value: Buffer.from('no') });
    expect(node.quarantine.fullUpdate().crashes).to.deep.equal([]);
    expect(node.quarantine.refusal(HARMFUL)).to.equal(undefined);
  });
});
