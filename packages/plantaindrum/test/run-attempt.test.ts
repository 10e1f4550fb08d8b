import { expect } from 'chai';
import { createManualClock, createMetrics } from '@plantaindrum/common';
import type { AttemptId, PeerFrame } from '@plantaindrum/link';
import { INITIAL_CREDIT_BYTES } from '@plantaindrum/link';
import { defaultAttemptTimeouts, runAttempt } from '../src/core/attempts/run-attempt.js';
import type { ResponseSink, DispatchPayload } from '../src/core/attempts/types.js';
import { createUpstream } from '../src/core/upstreams/upstream.js';
import { idleLoad } from './support/fake-agent.js';
import { createFakeLink } from './support/fake-link.js';

const work: DispatchPayload = {
  organisation: 'rainier',
  class: 'export',
  priority: 'normal',
  mayNotRepeat: true,
  budgetMs: 5_000,
  method: 'POST',
  path: '/exports/1',
  headers: {},
  body: Buffer.from('{}'),
};

/** Lets everything that waits for nothing outside run. */
const flushMicrotasks = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

const chunk = (id: AttemptId, offset: number, text: string): PeerFrame => ({
  t: 'chunk',
  id,
  offset,
  data: Buffer.from(text),
});
const head = (id: AttemptId): PeerFrame => ({ t: 'head', id, status: 200, headers: {} });
const end = (id: AttemptId, length: number): PeerFrame => ({
  t: 'end',
  id,
  length,
  load: idleLoad,
});

const setUp = () => {
  const clock = createManualClock();
  const metrics = createMetrics();
  const vm = {
    name: 'u1',
    address: '127.0.0.1:1',
    role: 'upstream',
    dataCentre: 'kent',
    region: 'northwest',
    state: 'live',
  } as const;
  const upstream = createUpstream(vm, metrics);
  const first = createFakeLink('agent-1');
  const deliver = upstream.onLink(first.link);
  let disconnectCaller = (): void => {};
  let text = '';
  let room: Promise<void> = Promise.resolve();
  const answer: ResponseSink = {
    head: () => true,
    write: async (data) => {
      text += Buffer.from(data).toString();
      await room;
      return true;
    },
    end: () => true,
  };
  const run = (id: AttemptId, repeatable = false) =>
    runAttempt({
      id,
      upstream,
      payload: work,
      response: answer,
      onCallerDisconnect: (fn) => {
        disconnectCaller = fn;
        return () => {};
      },
      mayRunElsewhere: repeatable,
      ticket: { started: () => {}, firstByte: () => {} },
      timeouts: defaultAttemptTimeouts,
      clock,
      metrics,
    });
  const reconnect = (instance: string) => {
    const next = createFakeLink(instance);
    return { ...next, deliver: upstream.onLink(next.link) };
  };
  return {
    clock,
    metrics,
    upstream,
    first,
    deliver,
    run,
    reconnect,
    disconnectCaller: () => disconnectCaller(),
    text: () => text,
    /** The caller reads nothing until the result is called. */
    stallCaller: (): (() => void) => {
      let drain = (): void => {};
      room = new Promise((resolve) => {
        drain = resolve;
      });
      return drain;
    },
  };
};

describe('an attempt', () => {
  it('is answered when offsets and length fit, and grants credit for what was written', async () => {
    const { deliver, run, first, text } = setUp();
    const outcome = run('e:1');
    [head('e:1'), chunk('e:1', 0, 'ab'), chunk('e:1', 2, 'cd'), end('e:1', 4)].forEach(deliver);
    expect(await outcome).to.deep.equal({ outcome: 'answered' });
    expect(text()).to.equal('abcd');
    expect(first.sent.map(({ t }) => t)).to.deep.equal(['dispatch', 'credit', 'credit']);
  });

  /*
   * The agent's answer lacks bytes, repeats them or ends early. Passed on, the caller would take a
   * damaged answer for a whole one; so it ends as unknown, counted, and the agent is told to stop.
   */
  const invalidResponses: Record<string, { frames: PeerFrame[]; fault: string }> = {
    'a chunk is missing': {
      frames: [head('e:1'), chunk('e:1', 0, 'ab'), chunk('e:1', 4, 'ef')],
      fault: 'wrong-offset',
    },
    'a chunk comes twice': {
      frames: [head('e:1'), chunk('e:1', 0, 'ab'), chunk('e:1', 0, 'ab')],
      fault: 'wrong-offset',
    },
    'the end says another length': {
      frames: [head('e:1'), chunk('e:1', 0, 'ab'), end('e:1', 4)],
      fault: 'wrong-length',
    },
    'the end comes without a head': { frames: [end('e:1', 0)], fault: 'wrong-length' },
    '"not run" comes after a head': {
      frames: [
        head('e:1'),
        { t: 'not-run', id: 'e:1', reason: 'leaving', retryAfterMs: 0, load: idleLoad },
      ],
      fault: 'not-run-after-head',
    },
  };
  Object.entries(invalidResponses).forEach(([name, { frames, fault }]) => {
    it(`is unknown when ${name}`, async () => {
      const { deliver, run, first, metrics } = setUp();
      const outcome = run('e:1');
      frames.forEach(deliver);
      expect(await outcome).to.deep.equal({ outcome: 'unknown', reason: 'upstream-broke-off' });
      expect(metrics.counter('answer_broken', { fault })).to.equal(1);
      expect(first.sent.at(-1)).to.deep.equal({ t: 'cancel', id: 'e:1' });
    });
  });

  /*
   * Two answers cross on one link, and frames of an ended attempt arrive late. Each caller gets the
   * bytes of its own request, because ids are never used twice and unknown ids are dropped.
   */
  it('takes no frames of another attempt, and frames after its end are dropped', async () => {
    const { deliver, run, metrics, text } = setUp();
    const outcome = run('e:2');
    [head('e:1'), head('e:2'), chunk('e:1', 0, 'other'), chunk('e:2', 0, 'own')].forEach(deliver);
    deliver(end('e:2', 3));
    expect(await outcome).to.deep.equal({ outcome: 'answered' });
    deliver(chunk('e:2', 3, 'late'));
    expect(text()).to.equal('own');
    expect(metrics.counter('frames_for_closed_attempt', { frame: 'chunk' })).to.equal(2);
  });

  /*
   * The caller reads slowly. Credit goes back to the agent only as fast as the caller takes bytes,
   * so that the answer waits at the agent and not in this process.
   */
  it('grants credit only once the caller has room', async () => {
    const { deliver, run, first, stallCaller: fill, text } = setUp();
    const drain = fill();
    const outcome = run('e:1');
    await first.waitForSent('dispatch');
    [head('e:1'), chunk('e:1', 0, 'ab'), end('e:1', 2)].forEach(deliver);
    await flushMicrotasks();
    expect([text(), first.sent.map(({ t }) => t)]).to.deep.equal(['ab', ['dispatch']]);
    drain();
    expect(await outcome).to.deep.equal({ outcome: 'answered' });
    expect(first.sent.at(-1)).to.deep.equal({ t: 'credit', id: 'e:1', bytes: 2 });
  });

  it('holds no more than the credit for a slow caller', async () => {
    const { deliver, run, stallCaller: fill, metrics } = setUp();
    const drain = fill();
    const outcome = run('e:1');
    const part = 'x'.repeat(INITIAL_CREDIT_BYTES / 2);
    deliver(head('e:1'));
    [0, 1, 2, 3].forEach((n) => deliver(chunk('e:1', n * part.length, part)));
    drain();
    expect((await outcome).outcome).to.equal('unknown');
    expect(metrics.counter('answer_broken', { fault: 'credit-exceeded' })).to.equal(1);
  });

  it('is not run when nothing could be sent', async () => {
    const { run, first } = setUp();
    await first.closeByPeer();
    const outcome = await run('e:1');
    expect(outcome.outcome).to.equal('not-run');
  });

  /*
   * The link is lost in the middle of an answer. The same agent instance comes back: it is asked
   * what became of the attempt, and sends on from the bytes that the entry holds.
   */
  it('goes on with the same agent instance after a lost link', async () => {
    const { deliver, run, first, reconnect, text } = setUp();
    const outcome = run('e:1');
    [head('e:1'), chunk('e:1', 0, 'ab')].forEach(deliver);
    await first.waitForSent('credit');
    await first.closeByPeer();
    const second = reconnect('agent-1');
    const query = await second.waitForSent('query');
    expect(query).to.deep.equal({ t: 'query', id: 'e:1', headReceived: true, received: 2 });
    second.deliver({ t: 'in-progress', id: 'e:1', started: true });
    [chunk('e:1', 2, 'cd'), end('e:1', 4)].forEach(second.deliver);
    expect(await outcome).to.deep.equal({ outcome: 'answered' });
    expect(text()).to.equal('abcd');
  });

  it('is not run when the agent has put a tombstone on it after a lost link', async () => {
    const { run, first, reconnect } = setUp();
    const outcome = run('e:1');
    await first.waitForSent('dispatch');
    await first.closeByPeer();
    const second = reconnect('agent-1');
    await second.waitForSent('query');
    const reason = 'upstream-unreachable';
    second.deliver({ t: 'not-run', id: 'e:1', reason, retryAfterMs: 5, load: idleLoad });
    expect(await outcome).to.deep.equal({ outcome: 'not-run', reason, retryAfterMs: 5 });
  });

  /*
   * The agent died after the dispatch and its successor answers at the same address. It knows
   * nothing of the attempt, which may have run: the outcome is unknown, and nobody is asked.
   */
  it('is unknown when another agent instance comes back', async () => {
    const { run, first, reconnect } = setUp();
    const outcome = run('e:1');
    await first.waitForSent('dispatch');
    await first.closeByPeer();
    const second = reconnect('agent-2');
    expect(await outcome).to.deep.equal({ outcome: 'unknown', reason: 'agent-restarted' });
    expect(second.sent).to.deep.equal([]);
  });

  it('is unknown when no agent comes back in time', async () => {
    const { clock, run, first } = setUp();
    const outcome = run('e:1');
    await first.waitForSent('dispatch');
    await first.closeByPeer();
    await clock.advance(defaultAttemptTimeouts.reconnectMs);
    expect(await outcome).to.deep.equal({ outcome: 'unknown', reason: 'link-lost' });
  });

  /*
   * The agent's process is frozen: its link stays open and nothing comes. Work that may run
   * elsewhere is given up after a second of silence, long before the heartbeat ends the link, so
   * that another upstream can still meet the target. Work that may not be repeated waits on.
   */
  it('is given up when the agent is silent, if the work may run elsewhere', async () => {
    const { upstream, run, first, metrics } = setUp();
    const repeatable = run('e:1', true);
    const once = run('e:2');
    await first.waitForSent('dispatch');
    [1, 2, 3, 4].forEach(upstream.checkSilence);
    expect(metrics.counter('upstream_silent')).to.equal(0);
    upstream.checkSilence();
    expect(await repeatable).to.deep.equal({ outcome: 'unknown', reason: 'link-lost' });
    expect(first.sent.at(-1)).to.deep.equal({ t: 'cancel', id: 'e:1' });
    expect(upstream.outstanding()).to.equal(1);
    upstream.onLink(createFakeLink('agent-2').link);
    expect((await once).outcome).to.equal('unknown');
  });

  it('goes on when the agent says anything in between', async () => {
    const { upstream, run, first, deliver } = setUp();
    const outcome = run('e:1', true);
    await first.waitForSent('dispatch');
    [1, 2, 3, 4].forEach(upstream.checkSilence);
    deliver({ t: 'pong', seq: 1, intentOffset: -1 });
    [1, 2, 3, 4].forEach(upstream.checkSilence);
    [head('e:1'), end('e:1', 0)].forEach(deliver);
    expect(await outcome).to.deep.equal({ outcome: 'answered' });
  });

  it('cancels a silent attempt and takes the word of the agent', async () => {
    const { clock, run, first, deliver } = setUp();
    const outcome = run('e:1');
    await first.waitForSent('dispatch');
    await clock.advance(defaultAttemptTimeouts.silenceMs);
    await first.waitForSent('cancel');
    deliver({ t: 'not-run', id: 'e:1', reason: 'cancelled', retryAfterMs: 0, load: idleLoad });
    expect((await outcome).outcome).to.equal('not-run');
  });

  /*
   * The caller goes away while the link is down. The agent must not go on for nobody, so the
   * cancel waits for the same instance to come back.
   */
  it('cancels when the caller has gone, also after a lost link', async () => {
    const { run, first, reconnect, disconnectCaller } = setUp();
    const outcome = run('e:1');
    await first.waitForSent('dispatch');
    await first.closeByPeer();
    disconnectCaller();
    expect(await outcome).to.deep.equal({ outcome: 'caller-gone' });
    const second = reconnect('agent-1');
    expect(second.sent).to.deep.equal([{ t: 'cancel', id: 'e:1' }]);
  });
});
