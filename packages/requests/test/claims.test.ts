import { expect } from 'chai';
import fc from 'fast-check';
import { createManualClock, createMetrics } from '@plantaindrum/common';
import type { ManualClock } from '@plantaindrum/common';
import type { AppendFault } from '@plantaindrum/stand-ins';
import { createMemoryLog } from '@plantaindrum/stand-ins';
import { createClaims } from '../src/claims/claims.js';
import { createKeyTable } from '../src/claims/key-table.js';
import type { ClaimRequest, Claims, ClaimVerdict } from '../src/claims/types.js';

const WINDOW_MS = 10 * 60_000;
const metrics = createMetrics();

const request = (change: Partial<ClaimRequest> = {}): ClaimRequest => ({
  organisation: 'lot',
  key: 'export-1',
  bodyHash: 'b1',
  budgetMs: 5_000,
  ...change,
});

/** A UUIDv7 created at `ms`. */
const datedKey = (ms: number): string => {
  const hex = ms.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000001`;
};

const createFixture = (syncPoint?: (label: string) => Promise<void>) => {
  const clock = createManualClock(1_800_000_000_000);
  const fake = createMemoryLog({ ...(syncPoint && { syncPoint }), pageSize: 3 });
  const agent = (instance: string): Claims =>
    createClaims({
      clock,
      log: fake.client(),
      metrics,
      instance,
      windowMs: WINDOW_MS,
      lingerMs: 0,
      partitions: 1,
    });
  return { clock, fake, agent };
};

/** Advances the clock until the promise has settled. */
const settled = async <T>(clock: ManualClock, promise: Promise<T>): Promise<T> => {
  let value: { it: T } | undefined;
  void promise.then((it) => {
    value = { it };
  });
  for (let n = 0; n < 400 && !value; n += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    if (!value) await clock.advance(50);
  }
  if (!value) throw new Error('never settled');
  return value.it;
};

const claimIdOf = (verdict: ClaimVerdict): string => {
  if (verdict.verdict !== 'first') throw new Error(`not first but ${verdict.verdict}`);
  return verdict.claim;
};

describe('claims', () => {
  it('lets the first run, refuses the others, and knows the outcome afterwards', async () => {
    const { clock, agent } = createFixture();
    const [kent, lynnwood] = [agent('kent'), agent('lynnwood')];
    const first = await settled(clock, kent.claim(request()));
    const steps: [string, ClaimVerdict][] = [
      ['first', first],
      ['same key elsewhere', await settled(clock, lynnwood.claim(request()))],
      ['same key here', await settled(clock, kent.claim(request()))],
      ['other body', await settled(clock, lynnwood.claim(request({ bodyHash: 'b2' })))],
      ['other organisation', await settled(clock, kent.claim(request({ organisation: 'x' })))],
    ];
    void kent.finish(claimIdOf(first), { status: 200, body: 'ZG9uZQ==' });
    await settled(clock, kent.flush(1000));
    steps.push(['after the end', await settled(clock, lynnwood.claim(request()))]);
    expect(Object.fromEntries(steps)).toMatchSnapshot();
  });

  // An agent is killed during a call, and the caller retries. Whether the call ran is unknown, so
  // the verdict is `held` and nothing runs, on the same VM too.
  it('keeps a key held after its agent was killed', async () => {
    const { clock, agent } = createFixture();
    await settled(clock, agent('kent-before').claim(request()));
    const again = await settled(clock, agent('kent-after').claim(request()));
    expect(again).to.deep.equal({ verdict: 'held', runningHere: false });
  });

  it('frees the key of a call that provably never ran', async () => {
    const { clock, agent } = createFixture();
    const [kent, lynnwood] = [agent('kent'), agent('lynnwood')];
    const first = claimIdOf(await settled(clock, kent.claim(request())));
    await settled(clock, kent.release(first));
    const second = await settled(clock, lynnwood.claim(request()));
    expect(second.verdict).to.equal('first');
    expect((await settled(clock, kent.claim(request()))).verdict).to.equal('held');
  });

  // A caller repeats an answered call at once through another agent, while the outcome's append was
  // lost and waits to be retried. The repeat would find the key held with an unknown outcome, so
  // `finish` must not resolve before the log holds the outcome.
  it('resolves finish only when later claims find the outcome', async () => {
    const { clock, fake, agent } = createFixture();
    const [kent, lynnwood] = [agent('kent'), agent('lynnwood')];
    const first = claimIdOf(await settled(clock, kent.claim(request())));
    fake.faults.appends.push('lost-request');
    await settled(clock, kent.finish(first, { status: 200 }));
    const repeat = await settled(clock, lynnwood.claim(request()));
    expect(repeat).to.deep.equal({ verdict: 'known', outcome: { status: 200 } });
  });

  it('waits at most waitMs for the record of a finished call', async () => {
    const { clock, fake, agent } = createFixture();
    const kent = agent('kent');
    const first = claimIdOf(await settled(clock, kent.claim(request())));
    Object.assign(fake.faults, { down: true });
    const before = clock.monotonic();
    await settled(clock, kent.finish(first, { status: 200 }, 300));
    expect(clock.monotonic() - before).to.equal(300);
    Object.assign(fake.faults, { down: false });
    await settled(clock, kent.flush(20_000));
    expect((await settled(clock, agent('csepel').claim(request()))).verdict).to.equal('known');
  });

  it('refuses at once while the log is down, and runs nothing', async () => {
    const { clock, fake, agent } = createFixture();
    Object.assign(fake.faults, { down: true });
    const before = clock.monotonic();
    const verdict = await settled(clock, agent('kent').claim(request()));
    expect(verdict).to.deep.equal({ verdict: 'log-down', retryAfterMs: 500 });
    expect(clock.monotonic() - before).to.be.at.most(50);
  });

  // The answer to an append is lost. If the append had an effect, replay finds the claim by its id;
  // otherwise it is appended again. Either way the call runs once.
  it('confirms a claim whose append lost its answer', async () => {
    for (const fault of ['lost-answer', 'lost-request', 'late-effect'] as const) {
      const { clock, fake, agent } = createFixture();
      fake.faults.appends.push(fault);
      expect((await settled(clock, agent('kent').claim(request()))).verdict).to.equal('first');
      expect((await settled(clock, agent('csepel').claim(request()))).verdict).to.equal('held');
    }
  });

  // The log accepts a claim and then can't be read, so the call doesn't run. Once the log is back,
  // the claim must be released, or the caller's retry would find the key held.
  it('releases a claim that it could not confirm', async () => {
    let isFirst = true;
    const { clock, fake, agent } = createFixture(async (label) => {
      if (label === 'append answer' && isFirst) Object.assign(fake.faults, { down: true });
    });
    const kent = agent('kent');
    expect((await settled(clock, kent.claim(request()))).verdict).to.equal('not-confirmed');
    expect(fake.values()).to.have.length(1);
    isFirst = false;
    Object.assign(fake.faults, { down: false });
    await settled(clock, kent.flush(20_000));
    expect(fake.values()).to.have.length(2);
    expect((await settled(clock, agent('csepel').claim(request()))).verdict).to.equal('first');
  });

  // An agent checks a key's age, is suspended past the log's retention and then claims. The log has
  // dropped the first claim, so its own looks like the first. The age is checked again after
  // replay.
  it('does not run an expired key after a suspension longer than the retention', async () => {
    const { clock, fake, agent } = createFixture();
    const key = datedKey(clock.now());
    await settled(clock, agent('kent').claim(request({ key })));
    const suspended = agent('lynnwood').claim(request({ key, budgetMs: 10 * WINDOW_MS }));
    fake.expireAll();
    await clock.advance(2 * WINDOW_MS);
    expect(await settled(clock, suspended)).to.deep.equal({ verdict: 'key-expired' });
    const late = await settled(clock, agent('kent').claim(request({ key })));
    const early = await settled(
      clock,
      agent('kent').claim(request({ key: datedKey(clock.now() + WINDOW_MS) })),
    );
    expect([late, early]).to.deep.equal([{ verdict: 'key-expired' }, { verdict: 'key-expired' }]);
  });

  it('restarts the replay from the beginning of the log when its position has expired', async () => {
    const { clock, fake, agent } = createFixture();
    const kent = agent('kent');
    await settled(clock, kent.claim(request()));
    await settled(clock, agent('csepel').claim(request({ key: 'export-2' })));
    fake.expireAll();
    const verdict = await settled(clock, kent.claim(request({ key: 'export-3' })));
    expect(verdict.verdict).to.equal('first');
  });

  // The append of a claim is delayed, so that its release is replayed first; or a claim that lost
  // is appended again after the winner released the key. Neither may hold the key, as its call
  // never runs.
  it('never lets a released or lost claim hold the key', () => {
    const table = createKeyTable();
    const claim = (id: string) => table.apply({ kind: 'claim', id, key: 'k', body: 'b' }, 0);
    const release = (id: string) => table.apply({ kind: 'release', id, key: 'k' }, 0);
    release('a:1');
    claim('a:1');
    expect(table.holder('k')).to.equal(undefined);
    claim('a:2');
    claim('b:1');
    release('a:2');
    claim('b:1');
    expect(table.claimState('k', 'b:1')).to.equal('dead');
    claim('b:2');
    expect(table.holder('k')!.id).to.equal('b:2');
  });

  it('reads a partition only when asked, and answers a known key without an append', async () => {
    const { clock, fake, agent } = createFixture();
    const kent = agent('kent');
    await settled(clock, kent.claim(request()));
    const { appends, reads } = fake.counts();
    await clock.advance(60_000);
    expect(fake.counts()).to.deep.equal({ appends, reads });
    await settled(clock, kent.claim(request()));
    expect(fake.counts().appends).to.equal(appends);
  });

  it('gives the same verdicts after a partition was evicted', async () => {
    const { clock, fake } = createFixture();
    const options = {
      clock,
      log: fake.client(),
      metrics,
      instance: 'kent',
      partitions: 8,
      maxKeys: 1,
    };
    const kent = createClaims(options);
    const keys = Array.from({ length: 20 }, (_, n) => `export-${n}`);
    const verdicts: string[] = [];
    for (const key of [...keys, ...keys]) {
      verdicts.push((await settled(clock, kent.claim(request({ key })))).verdict);
    }
    expect(new Set(verdicts.slice(0, 20))).to.deep.equal(new Set(['first']));
    expect(new Set(verdicts.slice(20))).to.deep.equal(new Set(['held']));
  });

  it('batches concurrent claims into one append', async () => {
    const { clock, fake } = createFixture();
    const options = {
      clock,
      log: fake.client(),
      metrics,
      instance: 'kent',
      partitions: 1,
      lingerMs: 5,
    };
    const kent = createClaims(options);
    const keys = Array.from({ length: 50 }, (_, n) => `export-${n}`);
    await settled(clock, Promise.all(keys.map((key) => kent.claim(request({ key })))));
    expect(fake.counts().appends).to.equal(1);
  });

  // For any order of appends, reads, lost answers, late effects, outages, deadlines and restarts,
  // no key runs twice.
  it('runs no key twice for any order of events', async () => {
    const faults = fc.array(
      fc.constantFrom<AppendFault>(
        'none',
        'none',
        'down',
        'lost-answer',
        'lost-request',
        'late-effect',
      ),
      { maxLength: 8 },
    );
    const move = fc.record({
      agent: fc.constantFrom('a1', 'a2', 'b1'),
      key: fc.constantFrom('k1', 'k2'),
      budgetMs: fc.constantFrom(20, 5_000),
      end: fc.constantFrom('finish', 'release', 'abandon', 'crash'),
    });
    const moves = fc.array(move, { minLength: 2, maxLength: 7 });
    const property = fc.asyncProperty(fc.scheduler(), faults, moves, async (s, injected, list) => {
      const { clock, fake, agent } = createFixture((label) => s.schedule(Promise.resolve(), label));
      fake.faults.appends.push(...injected);
      const agents = new Map(['a1', 'a2', 'b1'].map((name) => [name, agent(name)]));
      const runs = new Map<string, number>();
      let open = list.length;
      const play = async ({ agent: name, key, budgetMs, end }: (typeof list)[number]) => {
        await s.schedule(Promise.resolve(), 'arrival');
        const claims = agents.get(name)!;
        const verdict = await claims.claim(request({ key, budgetMs }));
        if (verdict.verdict === 'first') {
          if (end !== 'release') runs.set(key, (runs.get(key) ?? 0) + 1);
          if (end === 'finish') void claims.finish(verdict.claim, { status: 200 });
          if (end === 'release') void claims.release(verdict.claim);
          if (end === 'abandon') claims.abandon(verdict.claim);
          if (end === 'crash') agents.set(name, agent(`${name}-again-${open}`));
        }
        open -= 1;
      };
      void Promise.all(list.map(play));
      for (let n = 0; n < 300 && open > 0; n += 1) {
        for (let k = 0; k < 6 && s.count() > 0; k += 1) await s.waitOne();
        await clock.advance(25);
      }
      expect(open).to.equal(0);
      runs.forEach((count, key) => expect(count, key).to.equal(1));
    });
    await fc.assert(property, { seed: 4, numRuns: 300 });
  });
});
