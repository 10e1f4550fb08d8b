import { createManualClock } from '@plantaindrum/common';
import { expect } from 'chai';
import type { EngineGroupStandIn, LoadStream, ServiceStandIn } from '../src/index.js';
import {
  createBalancer,
  createEngineGroupStandIn,
  createServiceStandIn,
  createStreamCheck,
  findViolations,
  planArrivals,
  startLoad,
  streamBody,
} from '../src/index.js';
import { advanceUntil } from './http.js';

const summaries: LoadStream = {
  organisation: 'harbour-autos',
  apiKey: 'key-1',
  class: 'live-summary',
  perSecond: 100,
  targetMs: 60_000,
  work: {
    kind: 'completion',
    model: 'stand-in',
    stream: true,
    prefixes: 2,
    prefixCharacters: 128,
    tokens: [2, 4],
  },
};

const exportCalls: LoadStream = {
  organisation: 'duna-studio',
  apiKey: 'key-2',
  class: 'export',
  perSecond: 50,
  targetMs: 60_000,
  duplicateShare: 0.2,
  work: { kind: 'service', path: '/export', keyed: true },
};

describe('load plan', () => {
  it('is deterministic for a seed and has the requested rate', () => {
    const plan = planArrivals([summaries, exportCalls], 7, 20_000);
    expect(planArrivals([summaries, exportCalls], 7, 20_000)).to.deep.equal(plan);
    const originals = plan.filter(({ repeat }) => !repeat);
    expect(originals.length).to.be.within(2700, 3300);
    expect(
      planArrivals([summaries], 7, 80).map(({ atMs, prompt }) => [atMs, prompt.slice(-12)]),
    ).toMatchSnapshot();
  });
});

describe('stream check', () => {
  const body = streamBody('stand-in', 'lot 7', 3);
  const refusal = JSON.stringify({ error: { outcome: 'unknown', reason: 'upstream-broke-off' } });
  const verdict = (text: string, clean = true) => {
    const check = createStreamCheck('lot 7', 3);
    [...text].forEach((character) => check.feed(character));
    return check.end(clean);
  };

  it('distinguishes complete responses from foreign, short, duplicated, cut and refused ones', () => {
    const firstEvent = body.slice(0, body.indexOf('\n\n') + 2);
    expect({
      whole: verdict(body),
      foreign: verdict(streamBody('stand-in', 'lot 8', 3)),
      short: verdict(firstEvent),
      endedShort: verdict(`${firstEvent}data: [DONE]\n\n`),
      doubled: verdict(firstEvent + body),
      cut: verdict(firstEvent, false),
      refused: verdict(`${firstEvent}event: error\ndata: ${refusal}\n\n`, false),
    }).toMatchSnapshot();
  });
});

describe('load', () => {
  let group: EngineGroupStandIn;
  let service: ServiceStandIn;

  beforeEach(async () => {
    group = await createEngineGroupStandIn({ stepMs: 1 });
    service = await createServiceStandIn();
  });

  afterEach(() => Promise.all([group.close(), service.close()]));

  const start = () =>
    startLoad({
      streams: [summaries, exportCalls],
      seed: 7,
      durationMs: 300,
      pickTarget: ({ stream }) =>
        (stream.work.kind === 'service' ? service.url : group.engines[0]) ?? '',
    });
  const executions = () => ({
    byPath: service.counts().byPath,
    byCompletion: group.starts(),
  });

  it('verifies every response and detects calls that ran twice', async () => {
    const load = start();
    const results = await load.finished;
    const { total, byOrganisation } = load.report();
    const repeats = results.filter(({ arrival }) => arrival.repeat);
    expect(total.outcomes.answered).to.equal(results.length);
    expect(total.inTime).to.equal(results.length);
    expect(byOrganisation['harbour-autos']?.betweenUs.count).to.be.greaterThan(0);
    const violations = findViolations(results, executions(), (name) => name === 'export');
    expect(repeats.length).to.be.greaterThan(0);
    expect(violations.ranTwice.sort()).to.deep.equal(
      repeats.map(({ arrival }) => arrival.key).sort(),
    );
    expect(violations.ranThoughNotRun).to.deep.equal([]);
  });

  it('counts broken streams and lost responses by reason', async () => {
    group.setFaults(0, { breakStreams: { count: 2, afterTokens: 1 } });
    service.setFaults({ resetAfter: 1 });
    const load = start();
    await load.waitFor(({ outcomes }) => outcomes.lost === 3);
    load.stop();
    await load.finished;
    expect(load.report().total.reasons['lost:cut']).to.equal(2);
    expect(load.progress().inFlight).to.equal(0);
  });

  it('sends to ready entries only, and stops sending to one that is no longer ready', async () => {
    const clock = createManualClock();
    const entries = [
      { callers: 'http://first', ready: `${group.engines[0]}/health` },
      { callers: 'http://second', ready: `${service.url}/ready` },
    ];
    const balancer = await createBalancer({ entries, clock, intervalMs: 500 });
    expect([balancer.pick(), balancer.pick()].sort()).to.deep.equal([
      'http://first',
      'http://second',
    ]);
    group.setFaults(0, { healthy: false });
    const stopped = (async () => {
      while (balancer.ready().length > 1) {
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
    })();
    await advanceUntil(clock, 500, stopped);
    expect([balancer.pick(), balancer.pick()]).to.deep.equal(['http://second', 'http://second']);
    balancer.close();
  });
});
