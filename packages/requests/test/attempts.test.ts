import { expect } from 'chai';
import fc from 'fast-check';
import type { AttemptId } from '@plantaindrum/link';
import { createAttemptLedger } from '../src/attempts/attempt-ledger.js';
import { createSentAttempt } from '../src/attempts/sent-attempt.js';
import type { AttemptEvent, SentAttempt } from '../src/attempts/types.js';

interface ToAgent {
  kind: 'dispatch' | 'cancel' | 'query';
  id: AttemptId;
}
interface ToEntry {
  id: AttemptId;
  event: AttemptEvent;
}
interface Connection {
  toAgent: ToAgent[];
  toEntry: ToEntry[];
  openAtAgent: boolean;
}

/** One entry, one agent and an upstream; every frame is delivered only when a step says so. */
const createWorld = () => {
  const sent = new Map<AttemptId, SentAttempt>();
  const runs = new Map<AttemptId, number>();
  const connections: Connection[] = [];
  let ledger = createAttemptLedger();
  let queued: AttemptId[] = [];
  let running: AttemptId[] = [];
  let serial = 0;

  const connect = () => {
    connections.push({ toAgent: [], toEntry: [], openAtAgent: true });
  };
  const newest = () => connections.at(-1)!;
  const tellEntry = (id: AttemptId, event: AttemptEvent) => newest().toEntry.push({ id, event });
  const step = (id: AttemptId, event: AttemptEvent) => {
    if (sent.get(id)!.apply(event).step === 'query') newest().toAgent.push({ kind: 'query', id });
  };

  const atAgent = (frame: ToAgent) => {
    const { id } = frame;
    if (frame.kind === 'dispatch') {
      const decision = ledger.dispatch(id);
      if (decision === 'accept') queued.push(id);
      if (decision === 'refuse-tombstone') tellEntry(id, { kind: 'not-run' });
      return;
    }
    if (frame.kind === 'cancel') {
      const decision = ledger.cancel(id);
      if (decision === 'not-run') tellEntry(id, { kind: 'not-run' });
      if (decision !== 'stop-upstream') return;
      ledger.end(id, 'unknown');
      tellEntry(id, { kind: 'unknown' });
      return;
    }
    const answers = { queued: 'sent', answered: 'end' } as const;
    const found = ledger.query(id);
    const kind = found === 'queued' || found === 'answered' ? answers[found] : found;
    if (kind !== 'sent') tellEntry(id, { kind });
  };

  connect();
  const steps = {
    dispatch: () => {
      const id: AttemptId = `e1:${serial}`;
      serial += 1;
      sent.set(id, createSentAttempt(id));
      sent.get(id)!.apply({ kind: 'sent' });
      newest().toAgent.push({ kind: 'dispatch', id });
    },
    cancel: (n: number) => {
      const id = [...sent.keys()][n % sent.size];
      if (id) newest().toAgent.push({ kind: 'cancel', id });
    },
    giveUp: (n: number) => {
      const id = [...sent.keys()][n % sent.size];
      if (id) step(id, { kind: 'gave-up' });
    },
    deliverToAgent: (n: number) => {
      const open = connections.filter((c) => c.openAtAgent && c.toAgent.length > 0);
      const frame = open[n % open.length]?.toAgent.shift();
      if (frame) atAgent(frame);
    },
    deliverToEntry: (n: number) => {
      const busy = connections.filter((c) => c.toEntry.length > 0);
      const frame = busy[n % busy.length]?.toEntry.shift();
      if (frame) step(frame.id, frame.event);
    },
    start: () => {
      const id = queued.shift();
      if (!id || !ledger.start(id)) return;
      runs.set(id, (runs.get(id) ?? 0) + 1);
      running.push(id);
      tellEntry(id, { kind: 'started' });
    },
    end: () => {
      const id = running.shift();
      if (id && ledger.end(id, 'answered')) tellEntry(id, { kind: 'end' });
    },
    refuse: () => {
      const id = queued.pop();
      if (id && ledger.refuse(id)) tellEntry(id, { kind: 'not-run' });
    },
    // The entry's end is closed at once, the agent may still read what was in flight.
    cut: (n: number) => {
      if (n % 2 === 0) newest().openAtAgent = false;
      newest().toEntry = n % 3 === 0 ? newest().toEntry : [];
      connect();
      sent.forEach((_, id) => step(id, { kind: 'link-lost' }));
    },
    restart: () => {
      connections.forEach((c) => Object.assign(c, { openAtAgent: false, toEntry: [] }));
      ledger = createAttemptLedger();
      queued = [];
      running = [];
      connect();
      sent.forEach((_, id) => step(id, { kind: 'instance-gone' }));
    },
  };
  const drain = () => {
    for (let n = 0; n < 200; n += 1) {
      steps.deliverToAgent(0);
      steps.start();
      steps.deliverToEntry(0);
    }
  };
  return { steps, drain, sent, runs };
};

describe('attempts', () => {
  // The caller sees "not run" although its request runs: the link is cut with the dispatch in
  // flight, the entry asks over a new link, the agent says "not run" and only then reads the old
  // link. The tombstone must keep the late dispatch from starting.
  it('never runs an attempt after a query has called it not run', () => {
    const ledger = createAttemptLedger();
    expect(ledger.query('e1:7')).to.equal('not-run');
    expect(ledger.dispatch('e1:7')).to.equal('refuse-tombstone');
    expect(ledger.start('e1:7')).to.equal(false);
  });

  it('starts nothing whose cancel came first', () => {
    const ledger = createAttemptLedger();
    expect(ledger.cancel('e1:1')).to.equal('not-run');
    expect(ledger.dispatch('e1:1')).to.equal('refuse-tombstone');
  });

  it('calls nothing "not run" that it has forgotten', () => {
    const ledger = createAttemptLedger({ closedPerInstance: 1 });
    for (const id of ['e1:1', 'e1:2'] as const) {
      ledger.dispatch(id);
      ledger.start(id);
      ledger.end(id, 'answered');
    }
    expect(ledger.query('e1:1')).to.equal('unknown');
    expect(ledger.dispatch('e1:1')).to.equal('refuse-forgotten');
    expect(ledger.query('e1:2')).to.equal('answered');
  });

  it('takes back no answer that has begun', () => {
    const attempt = createSentAttempt('e1:1');
    attempt.apply({ kind: 'sent' });
    attempt.apply({ kind: 'progress' });
    expect(attempt.apply({ kind: 'not-run' })).to.deep.equal({
      step: 'closed',
      outcome: 'unknown',
    });
    expect(attempt.apply({ kind: 'end' })).to.deep.equal({ step: 'late' });
  });

  // Any interleaving of dispatch, accept, cancel, cut, late frame and restart: what the caller was
  // told stays true. "Not run" never ran and never will, "answered" ran, and nothing runs twice.
  it('tells the truth over all interleavings', () => {
    const names = Object.keys(createWorld().steps) as (keyof ReturnType<
      typeof createWorld
    >['steps'])[];
    const stepArbitrary = fc.tuple(fc.constantFrom(...names), fc.nat(11));
    const property = fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (script) => {
      const { steps, drain, sent, runs } = createWorld();
      script.forEach(([name, n]) => steps[name](n));
      drain();
      sent.forEach((attempt, id) => {
        const ran = runs.get(id) ?? 0;
        expect(ran).to.be.at.most(1);
        if (attempt.outcome() === 'not-run') expect(ran).to.equal(0);
        if (attempt.outcome() === 'answered') expect(ran).to.equal(1);
      });
    });
    fc.assert(property, { seed: 4, numRuns: 3000 });
  });
});
