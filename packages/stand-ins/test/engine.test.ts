import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import { expect } from 'chai';
import { request } from 'undici';
import { createPopularity } from '../src/engine/popularity.js';
import { createPrefixCache } from '../src/engine/prefix-cache.js';
import type { EngineGroupStandIn } from '../src/index.js';
import { answerText, createEngineGroupStandIn, promptBlocks, streamBody } from '../src/index.js';
import { createLagged } from '../src/lagged.js';
import { call } from './http.js';

const MODEL = 'stand-in';

describe('engine stand-in', () => {
  let group: EngineGroupStandIn;

  beforeEach(async () => {
    group = await createEngineGroupStandIn({ stepMs: 1, maxRunning: 1, metricsLagMs: 0 });
  });

  afterEach(() => group.close());

  const view = () => group.views()[0];
  const complete = (body: object, headers = {}) =>
    call(`${group.engines[0]}/v1/completions`, {
      body: { model: MODEL, prompt: 'lot 7', max_tokens: 4, ...body },
      headers,
    });

  it('streams the text derived from the prompt and resumes it byte for byte', async () => {
    const full = await complete({ stream: true });
    const tail = await complete({ stream: true }, { 'last-event-id': '1' });
    expect(full.text).to.equal(streamBody(MODEL, 'lot 7', 4));
    expect(tail.text).to.equal(streamBody(MODEL, 'lot 7', 4, 1));
    expect(full.text.endsWith(tail.text)).to.equal(true);
    expect((await complete({})).json.choices[0].text).to.equal(answerText('lot 7', 4));
    expect(full.text).toMatchSnapshot();
  });

  it('rejects invalid requests and unknown models, and serves a model once it is loaded', async () => {
    const statuses = [
      (await complete({ prompt: 7 })).status,
      (await complete({ model: 'other' })).status,
    ];
    await call(`${group.engines[0]}/orders/load_model`, { body: { name: 'other' } });
    statuses.push((await complete({ model: 'other' })).status);
    expect(statuses).to.deep.equal([400, 404, 200]);
  });

  it('cancels a generation when its caller disconnects', async () => {
    const abort = new AbortController();
    const res = await request(`${group.engines[0]}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: MODEL, prompt: 'x', max_tokens: 1e6, stream: true }),
      signal: abort.signal,
    });
    res.body.on('error', () => {});
    await group.waitFor(() => view()?.running === 1);
    abort.abort();
    await group.waitFor(() => view()?.cancelled === 1 && view()?.running === 0);
  });

  it('admits waiting generations by priority, lower values first', async () => {
    group.setFaults(0, { frozen: false });
    const order: string[] = [];
    const first = complete({ prompt: 'first', max_tokens: 50 });
    await group.waitFor(() => view()?.running === 1);
    const low = complete({ prompt: 'low', priority: 5 }).then(() => order.push('low'));
    await group.waitFor(() => view()?.waiting === 1);
    const high = complete({ prompt: 'high', priority: 1 }).then(() => order.push('high'));
    await Promise.all([first, low, high]);
    expect(order).to.deep.equal(['high', 'low']);
  });

  it('resets streams, refuses requests, and sends no responses while frozen', async () => {
    group.setFaults(0, { breakStreams: { count: 1, afterTokens: 2 } });
    expect((await complete({ stream: true })).status).to.equal(0);
    group.setFaults(0, { refuses: true, healthy: false });
    expect((await complete({})).status).to.equal(503);
    expect((await call(`${group.engines[0]}/health`)).status).to.equal(503);
    group.setFaults(0, { refuses: false, frozen: true });
    const { steps } = group.oracle();
    const frozen = complete({});
    expect(group.oracle().steps).to.be.at.most(steps + 1);
    group.setFaults(0, { frozen: false });
    expect((await frozen).status).to.equal(200);
  });

  it('exports its cached blocks and imports those of another engine', async () => {
    const prompt = 'condition summary '.repeat(20);
    const blocks = promptBlocks(prompt);
    const url = `${group.engines[0]}/kv`;
    expect((await call(`${url}/export`, { body: { prompt } })).json.block_hashes).to.deep.equal([]);
    await call(`${url}/import`, { body: { block_hashes: blocks } });
    await complete({ prompt });
    expect(view()?.hitBlocks).to.equal(blocks.length);
  });

  it('loses its state in a restart at the same address', async () => {
    await complete({});
    await group.kill(0);
    expect((await complete({})).status).to.equal(0);
    await group.restart(0);
    const { json } = await call(`${group.engines[0]}/group`);
    expect([json.group, json.ranks[0].step]).to.deep.equal([null, 0]);
  });
});

describe('published engine state', () => {
  it('publishes cache events with a delay and gaps in their sequence numbers', async () => {
    const clock = createManualClock();
    const cache = createPrefixCache({
      clock,
      random: createSeededRandom(3),
      capacityBlocks: 2,
      eventLagMs: 200,
      eventDropShare: 0.5,
    });
    const seen: string[] = [];
    cache.subscribe((seq, event) => seen.push(`${seq} ${event.type} ${event.block_hashes.length}`));
    for (let n = 0; n < 6; n += 1) cache.use(`${n}`.repeat(64));
    await clock.advance(199);
    expect(seen).to.deep.equal([]);
    await clock.advance(1);
    expect(seen).toMatchSnapshot();
    expect(cache.usage()).to.equal(1);
  });

  it('returns the earlier value until the delay has passed', async () => {
    const clock = createManualClock();
    const lagged = createLagged(clock, 'old', 100);
    lagged.set('new');
    await clock.advance(99);
    expect(lagged.get()).to.equal('old');
    await clock.advance(1);
    expect(lagged.get()).to.equal('new');
  });
});

describe('expert popularity', () => {
  const simulate = (motion: 'steady' | 'drift' | 'shift' | 'cycle') => {
    const popularity = createPopularity(1, 16, 5);
    const before = popularity.at(1)[0];
    popularity.setMotion(motion);
    return [1, 2, 2001, 4001].map((step) => {
      const shares = popularity.at(step)[0] ?? [];
      expect(shares.reduce((sum, share) => sum + share, 0)).to.be.closeTo(1, 1e-9);
      return shares.every((share, expert) => share === before?.[expert]) ? 'same' : 'other';
    });
  };

  it('stays constant, drifts, shifts once, or alternates', () => {
    expect({
      steady: simulate('steady'),
      drift: simulate('drift'),
      shift: simulate('shift'),
      cycle: simulate('cycle'),
    }).to.deep.equal({
      steady: ['same', 'same', 'same', 'same'],
      drift: ['other', 'other', 'other', 'other'],
      shift: ['other', 'other', 'other', 'other'],
      cycle: ['same', 'same', 'other', 'same'],
    });
  });
});
