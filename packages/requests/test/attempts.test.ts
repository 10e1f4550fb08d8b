import { expect } from 'chai';
import fc from 'fast-check';
import type { AttemptId } from '@plantaindrum/link';
import { createAttemptStateRegistry } from '../src/attempts/attempt-state-registry.js';
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

/** Simulates an entry, an agent and an upstream; frames are delivered only by explicit steps. */
const createSimulation = () => {
  const sent = new Map<AttemptId, SentAttempt>();
  const runs = new Map<AttemptId, number>();
  const connections: Connection[] = [];
  let registry = createAttemptStateRegistry();
  let queued: AttemptId[] = [];
  let running: AttemptId[] = [];
  let serial = 0;

  const connect = () => {
    connections.push({ toAgent: [], toEntry: [], openAtAgent: true });
  };
  const latest = () => connections.at(-1)!;
  const sendToEntry = (id: AttemptId, event: AttemptEvent) => latest().toEntry.push({ id, event });
  const step = (id: AttemptId, event: AttemptEvent) => {
    if (sent.get(id)!.apply(event).step === 'query') latest().toAgent.push({ kind: 'query', id });
  };

  const handleAtAgent = (frame: ToAgent) => {
    const { id } = frame;
    if (frame.kind === 'dispatch') {
      const decision = registry.dispatch(id);
      if (decision === 'accept') queued.push(id);
      if (decision === 'refuse-tombstone') sendToEntry(id, { kind: 'not-run' });
      return;
    }
    if (frame.kind === 'cancel') {
      const decision = registry.cancel(id);
      if (decision === 'not-run') sendToEntry(id, { kind: 'not-run' });
      if (decision !== 'stop-upstream') return;
      registry.end(id, 'unknown');
      sendToEntry(id, { kind: 'unknown' });
      return;
    }
    const answers = { queued: 'sent', answered: 'end' } as const;
    const found = registry.query(id);
    const kind = found === 'queued' || found === 'answered' ? answers[found] : found;
    if (kind !== 'sent') sendToEntry(id, { kind });
  };

  connect();
  const steps = {
    dispatch: () => {
      const id: AttemptId = `e1:${serial}`;
      serial += 1;
      sent.set(id, createSentAttempt(id));
      sent.get(id)!.apply({ kind: 'sent' });
      latest().toAgent.push({ kind: 'dispatch', id });
    },
    cancel: (n: number) => {
      const id = [...sent.keys()][n % sent.size];
      if (id) latest().toAgent.push({ kind: 'cancel', id });
    },
    giveUp: (n: number) => {
      const id = [...sent.keys()][n % sent.size];
      if (id) step(id, { kind: 'gave-up' });
    },
    deliverToAgent: (n: number) => {
      const open = connections.filter((c) => c.openAtAgent && c.toAgent.length > 0);
      const frame = open[n % open.length]?.toAgent.shift();
      if (frame) handleAtAgent(frame);
    },
    deliverToEntry: (n: number) => {
      const busy = connections.filter((c) => c.toEntry.length > 0);
      const frame = busy[n % busy.length]?.toEntry.shift();
      if (frame) step(frame.id, frame.event);
    },
    start: () => {
      const id = queued.shift();
      if (!id || !registry.start(id)) return;
      runs.set(id, (runs.get(id) ?? 0) + 1);
      running.push(id);
      sendToEntry(id, { kind: 'started' });
    },
    end: () => {
      const id = running.shift();
      if (id && registry.end(id, 'answered')) sendToEntry(id, { kind: 'end' });
    },
    refuse: () => {
      const id = queued.pop();
      if (id && registry.refuse(id)) sendToEntry(id, { kind: 'not-run' });
    },
    // The entry's end closes at once, but the agent may still read frames in flight.
    cut: (n: number) => {
      if (n % 2 === 0) latest().openAtAgent = false;
      latest().toEntry = n % 3 === 0 ? latest().toEntry : [];
      connect();
      sent.forEach((_, id) => step(id, { kind: 'link-lost' }));
    },
    restart: () => {
      connections.forEach((c) => Object.assign(c, { openAtAgent: false, toEntry: [] }));
      registry = createAttemptStateRegistry();
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
  // The caller gets `not-run` although its request runs: the link is cut with the dispatch in
  // flight, the entry queries over a new link, and the agent answers `not-run` before it reads the
  // dispatch from the old link. The tombstone must keep that dispatch from starting.
  it('never starts an attempt that a query has reported as not run', () => {
    const registry = createAttemptStateRegistry();
    expect(registry.query('e1:7')).to.equal('not-run');
    expect(registry.dispatch('e1:7')).to.equal('refuse-tombstone');
    expect(registry.start('e1:7')).to.equal(false);
  });

  it('does not start an attempt whose cancel arrived first', () => {
    const registry = createAttemptStateRegistry();
    expect(registry.cancel('e1:1')).to.equal('not-run');
    expect(registry.dispatch('e1:1')).to.equal('refuse-tombstone');
  });

  it('does not report a forgotten attempt as not run', () => {
    const registry = createAttemptStateRegistry({ closedPerInstance: 1 });
    for (const id of ['e1:1', 'e1:2'] as const) {
      registry.dispatch(id);
      registry.start(id);
      registry.end(id, 'answered');
    }
    expect(registry.query('e1:1')).to.equal('unknown');
    expect(registry.dispatch('e1:1')).to.equal('refuse-forgotten');
    expect(registry.query('e1:2')).to.equal('answered');
  });

  it('closes an attempt as unknown when not-run follows part of the answer', () => {
    const attempt = createSentAttempt('e1:1');
    attempt.apply({ kind: 'sent' });
    attempt.apply({ kind: 'progress' });
    expect(attempt.apply({ kind: 'not-run' })).to.deep.equal({
      step: 'closed',
      outcome: 'unknown',
    });
    expect(attempt.apply({ kind: 'end' })).to.deep.equal({ step: 'late' });
  });

  // For any order of dispatches, cancels, cut links, late frames and restarts, the outcome that the
  // caller got stays true: `not-run` never runs, `answered` has run, and nothing runs twice.
  it('reports true outcomes for any order of events', () => {
    const names = Object.keys(createSimulation().steps) as (keyof ReturnType<
      typeof createSimulation
    >['steps'])[];
    const stepArbitrary = fc.tuple(fc.constantFrom(...names), fc.nat(11));
    const property = fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (script) => {
      const { steps, drain, sent, runs } = createSimulation();
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
