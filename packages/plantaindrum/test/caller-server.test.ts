import { expect } from 'chai';
import type { FakeAgent } from './support/fake-agent.js';
import { sendAnswer, startFakeAgent } from './support/fake-agent.js';
import type { TestSite } from './support/site.js';
import { startSite, upstreamVm } from './support/site.js';

const prompt = JSON.stringify({ model: 'lot-writer', prompt: 'a car' });

describe('caller server', () => {
  let agent: FakeAgent;
  let site: TestSite;

  before(async () => {
    agent = await startFakeAgent((frame, link) => {
      if (frame.t === 'dispatch') sendAnswer(link, frame, `{"path":"${frame.path}"}`);
    });
    const service = { kind: 'service', service: 'exports' };
    site = await startSite(
      [upstreamVm('u1', agent.address), upstreamVm('u2', agent.address, service)],
      { bodyBytes: 1_000, headerBytes: 2_000 },
    );
  });

  after(async () => {
    await site.close();
    await agent.close();
  });

  it('forwards completions and calls of a service', async () => {
    const completion = await site.call('/v1/completions', { body: prompt });
    const call = await site.call('/exports/7?all=1', { method: 'GET' });
    expect([completion.text, call.text]).to.deep.equal([
      '{"path":"/v1/completions"}',
      '{"path":"/exports/7?all=1"}',
    ]);
    const dispatches = agent.frames.filter((frame) => frame.t === 'dispatch');
    expect(dispatches.map((frame) => [frame.class, frame.mayNotRepeat])).to.deep.equal([
      ['live', false],
      ['export', true],
    ]);
    expect(dispatches[0]?.headers).not.to.have.property('authorization');
  });

  it('keeps mayNotRepeat of a route whatever class the caller names', async () => {
    await site.call('/exports/8', { headers: { 'x-plantaindrum-class': 'live' } });
    const last = agent.frames.filter((frame) => frame.t === 'dispatch').at(-1);
    expect([last?.class, last?.mayNotRepeat]).to.deep.equal(['live', true]);
  });

  it('does not take an inherited property for a class', async () => {
    const headers = { 'x-plantaindrum-class': 'constructor' };
    const { status } = await site.call('/v1/completions', { headers, body: prompt });
    expect(status).to.equal(400);
  });

  it('refuses with reason, outcome and Retry-After', async () => {
    const unknownKey = { headers: { authorization: 'Bearer nobody' }, body: prompt };
    const answers = {
      'unknown key': await site.call('/v1/completions', unknownKey),
      'unknown class': await site.call('/v1/completions', {
        headers: { 'x-plantaindrum-class': 'none' },
        body: prompt,
      }),
      'unknown path': await site.call('/elsewhere', { method: 'GET' }),
      'wrong method': await site.call('/v1/completions', { method: 'GET' }),
      'not JSON': await site.call('/v1/completions', { body: '{' }),
      'no such model': await site.call('/v1/completions', {
        body: JSON.stringify({ model: 'none', prompt: 'x' }),
      }),
      'body too large': await site.call('/v1/completions', { body: 'x'.repeat(5_000) }),
      'header too large': await site.call('/v1/completions', {
        headers: { 'x-long': 'x'.repeat(5_000) },
        body: prompt,
      }),
    };
    const seen = Object.entries(answers).map(([name, { status, headers, text }]) => ({
      name,
      status,
      reason: headers['x-plantaindrum-reason'],
      outcome: headers['x-plantaindrum-outcome'],
      retryAfter: headers['retry-after'],
      body: JSON.parse(text) as unknown,
    }));
    expect(seen).toMatchSnapshot();
    const counted = site.metrics.counter('requests_refused', { reason: 'body-too-large' });
    expect(counted).to.equal(1);
  });
});
