import { expect } from 'chai';
import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import type { Load } from '@plantaindrum/link';
import { createRouter } from '../src/routing/router.js';
import type { RouterOptions } from '../src/routing/router.js';
import { subsetOf } from '../src/routing/subset.js';
import type { Upstream } from '../src/routing/types.js';

const kent = { id: 'kent-e1', dataCentre: 'kent', region: 'northwest' };

const upstreamsIn = (dataCentre: string, count: number, region = 'northwest'): Upstream[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `${dataCentre}-${n}`,
    dataCentre,
    region,
    target: 'm',
  }));

const loadOf = (change: Partial<Load> = {}): Load => ({
  queued: 0,
  running: 0,
  drainPerSecond: 10,
  leaving: false,
  ...change,
});

const routerWith = (upstreams: Upstream[], change: Partial<RouterOptions> = {}) => {
  const clock = createManualClock();
  const random = createSeededRandom(7);
  const router = createRouter({ clock, random, self: kent, ...change });
  router.setUpstreams(upstreams);
  const shares = (count: number, prefix?: string) => {
    const chosen: Record<string, number> = {};
    for (let n = 0; n < count; n += 1) {
      const route = router.choose({ target: 'm', ...(prefix === undefined ? {} : { prefix }) });
      chosen[route.upstream ?? 'none'] = (chosen[route.upstream ?? 'none'] ?? 0) + 1;
    }
    return chosen;
  };
  /** Runs one request at each upstream per round; `msOf` gives its time to first byte. */
  const serve = async (rounds: number, msOf: (id: string) => number) => {
    for (let n = 0; n < rounds; n += 1) {
      const tickets = upstreams.map(({ id }) => ({
        ms: msOf(id),
        ticket: router.recordDispatch(id),
      }));
      tickets.sort((a, b) => a.ms - b.ms).forEach(({ ticket }) => ticket.started());
      let passed = 0;
      for (const { ms, ticket } of tickets) {
        await clock.advance(ms - passed);
        passed = ms;
        ticket.firstByte();
        ticket.ended();
      }
    }
  };
  return { clock, router, shares, serve };
};

describe('router', () => {
  it('assigns the same number of entries to every upstream of a large site', () => {
    const entries = Array.from({ length: 17 }, (_, n) => ({ ...kent, id: `kent-e${n}` }));
    const upstreams = upstreamsIn('kent', 480);
    const options = { entriesPerUpstream: 4, minUpstreams: 16 };
    const subsets = entries.map((self) => subsetOf(upstreams, entries, { ...options, self }));
    const links = new Map(upstreams.map(({ id }) => [id, 0]));
    subsets.flat().forEach(({ id }) => links.set(id, links.get(id)! + 1));
    expect(new Set(links.values())).to.deep.equal(new Set([4]));
    const sizes = subsets.map((subset) => subset.length);
    expect(Math.max(...sizes) / Math.min(...sizes)).to.be.below(1.6);
  });

  it('stays in its own data centre while that has capacity', () => {
    const far = upstreamsIn('reno', 4, 'southwest');
    const { router, shares } = routerWith([...upstreamsIn('kent', 2), ...far]);
    expect(Object.keys(shares(200))).to.have.members(['kent-0', 'kent-1']);
    router.recordLoad('kent-0', loadOf({ queued: 20 }));
    router.recordLoad('kent-1', loadOf({ queued: 20 }));
    expect(Object.keys(shares(50)).every((id) => id.startsWith('reno'))).to.equal(true);
    router.recordLoad('kent-0', loadOf());
    router.markLeaving('kent-0');
    router.markLeaving('kent-1');
    expect(Object.keys(shares(50)).every((id) => id.startsWith('reno'))).to.equal(true);
  });

  it('sends nothing to a leaving upstream until a new agent instance reports', () => {
    const { router, shares } = routerWith(upstreamsIn('kent', 2));
    router.markLeaving('kent-0');
    expect(shares(50)).to.deep.equal({ 'kent-1': 50 });
    router.recordLoad('kent-0', loadOf());
    expect(Object.keys(shares(50))).to.have.length(2);
    router.setUpstreams(upstreamsIn('kent', 2).map((u) => ({ ...u, leaving: u.id === 'kent-0' })));
    router.recordLoad('kent-0', loadOf());
    expect(shares(50)).to.deep.equal({ 'kent-1': 50 });
  });

  it('prefers a fresh load to the lagged report, and falls back to the report', async () => {
    const { clock, router, shares } = routerWith(upstreamsIn('kent', 2));
    router.recordLaggedLoad('kent-0', { queued: 0, running: 0 });
    router.recordLaggedLoad('kent-1', { queued: 9, running: 9 });
    expect(shares(50)).to.deep.equal({ 'kent-0': 50 });
    router.recordLoad('kent-0', loadOf({ queued: 30 }));
    router.recordLoad('kent-1', loadOf());
    expect(shares(50)).to.deep.equal({ 'kent-1': 50 });
    await clock.advance(10_000);
    expect(shares(50)).to.deep.equal({ 'kent-0': 50 });
  });

  // An engine has become ten times slower while its agent answers heartbeats at once. Only the time
  // to first byte shows it. It gets no requests while ejected, then a growing share of them.
  it('ejects a slow upstream that still answers heartbeats, and lets it back gradually', async () => {
    const { clock, router, shares, serve } = routerWith(upstreamsIn('kent', 4));
    await serve(6, (id) => (id === 'kent-3' ? 2000 : 200));
    const states = [router.updateHealth(), router.updateHealth()];
    expect(states).to.deep.equal([
      [{ upstream: 'kent-3', from: 'serving', to: 'ejected', reason: 'slow' }],
      [],
    ]);
    expect(shares(400)['kent-3']).to.equal(undefined);
    await clock.advance(5_000);
    expect(router.updateHealth()).to.deep.equal([
      { upstream: 'kent-3', from: 'ejected', to: 'returning', reason: 'pause-over' },
    ]);
    const first = shares(1000)['kent-3'] ?? 0;
    await clock.advance(5_000);
    const later = shares(1000)['kent-3'] ?? 0;
    expect(first).to.be.within(1, 60);
    expect(later).to.be.within(90, 200);
    await clock.advance(5_000);
    expect(router.updateHealth()[0]).to.include({ to: 'serving', reason: 'recovered' });
  });

  it('ejects an upstream whose started requests get no first byte at all', async () => {
    const { clock, router, serve } = routerWith(upstreamsIn('kent', 4));
    await serve(6, () => 200);
    router.recordDispatch('kent-2').started();
    await clock.advance(2_500);
    expect(router.updateHealth()).to.deep.equal([
      { upstream: 'kent-2', from: 'serving', to: 'ejected', reason: 'silent' },
    ]);
  });

  // An engine refuses every request at once. Its load is always the lowest, so it attracts the most
  // requests, each of which costs an attempt. It must be ejected.
  it('ejects an upstream that refuses one request after the other', async () => {
    const { router, shares } = routerWith(upstreamsIn('kent', 4));
    const fail = () => {
      const ticket = router.recordDispatch('kent-1');
      ticket.started();
      ticket.failed();
      ticket.ended();
    };
    [1, 2, 3, 4].forEach(fail);
    expect(router.updateHealth()).to.deep.equal([]);
    fail();
    expect(router.updateHealth()).to.deep.equal([
      { upstream: 'kent-1', from: 'serving', to: 'ejected', reason: 'failing' },
    ]);
    expect(shares(400)).not.to.have.property('kent-1');
  });

  it('ejects at most half of the upstreams, and none when all are slow', async () => {
    const { router, serve } = routerWith(upstreamsIn('kent', 6));
    await serve(6, (id) => (Number(id.slice(-1)) < 3 ? 100 : 5_000));
    expect(router.updateHealth()).to.have.length(3);
    const overloaded = routerWith(upstreamsIn('kent', 4));
    await overloaded.serve(6, () => 8_000);
    expect(overloaded.router.updateHealth()).to.deep.equal([]);
    const silent = routerWith(upstreamsIn('kent', 2));
    silent.router.setSilent('kent-0', true);
    expect(silent.shares(20)).to.deep.equal({ 'kent-1': 20 });
    silent.router.setSilent('kent-1', true);
    expect(silent.router.choose({ target: 'm' })).to.include({ method: 'last-resort' });
  });

  it('keeps a prefix at its upstream until the load exceeds the bound', () => {
    const { router, shares } = routerWith(upstreamsIn('kent', 4));
    const [home] = Object.keys(shares(50, 'p1'));
    expect(shares(50, 'p1')).to.deep.equal({ [home!]: 50 });
    router.recordLoad(home!, loadOf({ queued: 40 }));
    const moved = Object.keys(shares(50, 'p1'));
    expect(moved).to.have.length(1);
    expect(moved).not.to.include(home);
  });

  it('says why there is no route', () => {
    const { router } = routerWith(upstreamsIn('kent', 1));
    expect([
      router.choose({ target: 'other' }),
      router.choose({ target: 'm', exclude: new Set(['kent-0']) }),
      router.choose({ target: 'm' }),
    ]).to.deep.equal([
      { upstream: undefined, reason: 'no-upstream' },
      { upstream: undefined, reason: 'all-excluded' },
      { upstream: 'kent-0', method: 'only-one' },
    ]);
  });
});
