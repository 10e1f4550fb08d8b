import { once } from 'node:events';
import { Agent, request } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import type { Link, PeerFrame } from '@plantaindrum/link';
import type { FakeAgent } from './support/fake-agent.js';
import { idleLoad, sendAnswer, startFakeAgent } from './support/fake-agent.js';
import type { TestSite } from './support/site.js';
import { KEY, startSite, upstreamVm } from './support/site.js';

const CONNECTIONS = 6;
const body = JSON.stringify({ model: 'lot-writer', prompt: 'a car' });
const exportsLabels = { kind: 'service', service: 'exports' };

type AgentScript = (frame: PeerFrame, link: Link) => void;

const refuseWith =
  (reason: 'queue-full' | 'deadline-unreachable', retryAfterMs: number): AgentScript =>
  (frame, link) => {
    if (frame.t !== 'dispatch') return;
    link.send({ t: 'not-run', id: frame.id, reason, retryAfterMs, load: idleLoad });
  };

const breakOff: AgentScript = (frame, link) => {
  if (frame.t !== 'dispatch') return;
  link.send({ t: 'unknown', id: frame.id, reason: 'upstream-broke-off', load: idleLoad });
};

const sendEmptyAnswer: AgentScript = (frame, link) => {
  if (frame.t === 'dispatch') sendAnswer(link, frame, '{}');
};

/** Handles the first dispatch to any of the agents by one script, and later ones by another. */
const firstThen = (first: AgentScript, later: AgentScript): AgentScript => {
  let count = 0;
  return (frame, link) => {
    if (frame.t !== 'dispatch') return;
    count += 1;
    (count === 1 ? first : later)(frame, link);
  };
};

describe('a request', () => {
  const closeables: { close(): Promise<void> }[] = [];
  let agents: FakeAgent[];

  const start = async (
    script: AgentScript,
    labels?: Record<string, string>,
    limits: Record<string, number> = {},
  ): Promise<TestSite> => {
    agents = await Promise.all([startFakeAgent(script), startFakeAgent(script)]);
    const vms = agents.map(({ address }, index) => upstreamVm(`u${index}`, address, labels));
    const site = await startSite(vms, limits);
    closeables.push(site, ...agents);
    return site;
  };

  const dispatchCount = (): number =>
    agents.flatMap(({ frames }) => frames.filter(({ t }) => t === 'dispatch')).length;

  afterEach(async () => {
    for (const part of closeables.splice(0)) await part.close();
  });

  // The dispatch to each of the two upstreams is lost with its link. Both agents prove that nothing
  // arrived and reconnect, so the request can still be served. An entry that never retried an
  // upstream would refuse it.
  it('is retried at an upstream that a dispatch never reached when no other is left', async () => {
    let lost = 0;
    const loseTwoDispatches: AgentScript = (frame, link) => {
      if (frame.t !== 'dispatch') return;
      lost += 1;
      if (lost > 2) sendAnswer(link, frame, '{}');
      else {
        const reason = 'never-arrived';
        link.send({ t: 'not-run', id: frame.id, reason, retryAfterMs: 0, load: idleLoad });
      }
    };
    const site = await start(loseTwoDispatches);
    const res = await site.call('/v1/completions', { body });
    expect([res.status, dispatchCount()]).to.deep.equal([200, 3]);
  });

  it('is refused at once with the Retry-After of the last agent', async () => {
    const site = await start(refuseWith('queue-full', 6_500));
    const { status, headers } = await site.call('/v1/completions', { body });
    expect([status, headers['retry-after']]).to.deep.equal([429, '7']);
    expect(headers['x-plantaindrum-outcome']).to.equal('not-run');
    expect(dispatchCount()).to.equal(2);
  });

  it('runs at another upstream after a proved "not run"', async () => {
    const site = await start(
      firstThen(refuseWith('queue-full', 50), sendEmptyAnswer),
      exportsLabels,
    );
    const { status } = await site.call('/exports/1', { body: '{}' });
    expect([status, dispatchCount()]).to.deep.equal([200, 2]);
    expect(site.metrics.counter('retries', { reason: 'queue-full' })).to.equal(1);
  });

  /*
   * The upstream breaks off a call that may not be repeated. The call may have had its effect, so
   * no other upstream gets it, and the refusal reports the outcome as unknown.
   */
  it('is not retried after an unknown outcome when it may not be repeated', async () => {
    const site = await start(firstThen(breakOff, sendEmptyAnswer), exportsLabels);
    const { status, headers } = await site.call('/exports/1', { body: '{}' });
    expect([status, headers['x-plantaindrum-outcome'], dispatchCount()]).to.deep.equal([
      502,
      'unknown',
      1,
    ]);
    expect(site.metrics.counter('retries_denied', { reason: 'may-not-repeat' })).to.equal(1);
  });

  it('is not retried after an unknown outcome when it has an idempotency key', async () => {
    const site = await start(firstThen(breakOff, sendEmptyAnswer));
    const headers = { 'idempotency-key': 'k1' };
    const first = await site.call('/v1/completions', { body, headers });
    expect([first.status, dispatchCount()]).to.deep.equal([502, 1]);
  });

  /*
   * The first attempt may have run, the second provably did not. The request as a whole may have
   * run, so the refusal reports "unknown" although the last agent reported "not run".
   */
  it('keeps the outcome "unknown" when a retry did not run', async () => {
    const site = await start(firstThen(breakOff, refuseWith('deadline-unreachable', 50)));
    const { status, headers } = await site.call('/v1/completions', { body });
    expect([status, headers['x-plantaindrum-outcome'], dispatchCount()]).to.deep.equal([
      502,
      'unknown',
      2,
    ]);
  });

  /*
   * Callers keep their connections open after their answers, more of them than the server may hold. Later callers would
   * be refused though nothing is in flight.
   */
  it('is served while earlier callers keep more connections open than the limit', async () => {
    const site = await start(sendEmptyAnswer, exportsLabels, { connections: CONNECTIONS });
    const { hostname, port } = new URL(site.entry.callers);
    const callers: Agent[] = [];
    const callOnce = (agent: Agent): Promise<number> =>
      new Promise((resolve) => {
        const headers = { authorization: `Bearer ${KEY}` };
        const target = { hostname, port, path: '/exports/1', method: 'POST', agent, headers };
        const req = request(target, (res) => {
          res.resume();
          res.on('end', () => resolve(res.statusCode ?? 0));
        });
        req.on('error', () => resolve(0));
        req.end('{}');
      });
    const statuses: number[] = [];
    for (let n = 0; n < 2 * CONNECTIONS; n += 1) {
      const agent = new Agent({ keepAlive: true });
      callers.push(agent);
      statuses.push(await callOnce(agent));
    }
    callers.forEach((agent) => agent.destroy());
    expect(statuses).to.deep.equal(new Array(2 * CONNECTIONS).fill(200));
  });

  /*
   * A caller connects while the server has its maximum of connections. Its request is read and
   * refused as not run, and reaches no upstream; once a connection has closed, callers are served.
   */
  it('is refused, not reset, when it exceeds the connection limit', async () => {
    const site = await start(sendEmptyAnswer, exportsLabels, { connections: 1 });
    const { hostname, port } = new URL(site.entry.callers);
    const first = connect(Number(port), hostname);
    await once(first, 'connect');
    const refused = await site.call('/exports/1', { body: '{}' });
    const { status, headers } = refused;
    expect([status, headers['x-plantaindrum-reason']]).to.deep.equal([503, 'too-many-connections']);
    const counted = site.metrics.counter('requests_refused', { reason: 'too-many-connections' });
    expect(counted).to.equal(1);
    expect(dispatchCount()).to.equal(0);
    first.end();
    await once(first, 'close');
    expect((await site.call('/exports/2', { body: '{}' })).status).to.equal(200);
  });
});
