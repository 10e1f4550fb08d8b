import { expect } from 'chai';
import { systemClock } from '@plantaindrum/common';
import { startEntry } from './support/entry.js';
import type { EntryOptions } from './support/entry.js';
import {
  answerOk,
  refuseUnrun,
  resetConnection,
  soundHeaders,
  startFakeUpstream,
} from './support/fake-upstream.js';
import type { Act } from './support/fake-upstream.js';
import { runs, stream, unsafe, wait, withEntry } from './support/with-entry.js';

describe('serving a request', () => {
  it('passes method, path, body and answer on unchanged', async () => {
    await withEntry([answerOk('hello')], {}, async (entry, [upstream]) => {
      const answer = await entry.ask({ 'x-extra': 'e' }, '/p/x?y=1', 'body');
      expect(answer).to.include({ status: 200, body: 'hello', isWhole: true });
      expect(answer.headers['x-receipt']).to.equal('r');
      const [seen] = upstream?.seen ?? [];
      expect(seen).to.include({ method: 'POST', path: '/p/x?y=1', body: 'body' });
      expect(seen?.headers).to.include({ 'x-extra': 'e', 'x-instance': 'i0' });
    });
  });

  it('gives the upstream no more time than the caller and the route have', async () => {
    await withEntry([answerOk()], {}, async (entry, [upstream]) => {
      await entry.ask({ 'x-wait': '300' });
      await entry.ask({ 'x-wait': '90000' });
      const left = (upstream?.seen ?? []).map(({ headers }) => Number(headers['x-left']));
      expect(left[0]).to.be.within(200, 300);
      expect(left[1]).to.be.within(900, 1_000);
    });
  });

  // The caller gets its answer although the first upstream refused: that one says itself that it
  // did not run the request, so another may.
  it('sends a refused request to another upstream', async () => {
    await withEntry([refuseUnrun, answerOk()], { route: { maxAttempts: 2 } }, async (entry) => {
      const answers = [await entry.ask(), await entry.ask(), await entry.ask()];
      expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
    });
  });

  // A doubled export. The upstream has read the request and its connection is reset: it may have
  // run. The caller gets a status that promises nothing, and no upstream sees the request again.
  it('never sends a request that may have run again if it may not repeat', async () => {
    const acts = [resetConnection, resetConnection];
    await withEntry(acts, { route: { ...unsafe, maxAttempts: 2 } }, async (entry, upstreams) => {
      const answer = await entry.ask({}, '/p/x', 'export');
      expect(answer.status).to.equal(502);
      expect(answer.headers['retry-after']).to.equal(undefined);
      expect(runs(upstreams)).to.equal(1);
    });
  });

  // The same with a 503 that lacks the upstream's word that it did not run: passed on as it is, the
  // caller would come back and the work would be done twice.
  it('does not pass on a bare 503 for a request that may not repeat', async () => {
    const bare: Act = (req, res) => res.writeHead(503, soundHeaders(req)).end();
    await withEntry([bare], { route: unsafe }, async (entry, upstreams) => {
      const answer = await entry.ask({}, '/p/x', 'export');
      expect(answer.status).to.equal(502);
      expect(runs(upstreams)).to.equal(1);
    });
  });

  it('sends a safe request again after a reset, and after a failure of the upstream', async () => {
    const failing: Act = (req, res) => res.writeHead(500, soundHeaders(req)).end('no');
    await withEntry([resetConnection, answerOk()], {}, async (entry) => {
      expect((await entry.ask()).status).to.equal(200);
      expect((await entry.ask()).status).to.equal(200);
    });
    await withEntry([failing, failing], {}, async (entry, upstreams) => {
      const answer = await entry.ask();
      expect(answer).to.include({ status: 500, body: 'no' });
      expect(runs(upstreams)).to.equal(2);
    });
  });

  // An upstream is gone and its port has no listener. Nothing was sent, so even a request that may
  // not repeat goes to another upstream, and with none left the caller is told that nothing ran.
  it('goes on to another upstream when no connection came about', async () => {
    const gone = await startFakeUpstream(answerOk());
    await gone.close();
    const live = await startFakeUpstream(answerOk());
    const entry = await startEntry({ upstreams: [gone, live], route: unsafe });
    const answers = [await entry.ask({}, '/p/x', 'a'), await entry.ask({}, '/p/x', 'b')];
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200]);
    await live.close();
    const refused = await entry.ask({}, '/p/x', 'c');
    expect(refused.status).to.equal(503);
    expect(Number(refused.headers['retry-after'])).to.be.above(0);
    await entry.close();
  });

  // An answer that another request was due: an upstream sends it late, on the connection on which
  // this one waits. The caller must not see it.
  it('does not pass on the answer to another request', async () => {
    const crossed: Act = (_, res) =>
      res.writeHead(200, { 'x-id': 'other', 'x-receipt': 'r' }).end('x');
    await withEntry([crossed], { route: unsafe }, async (entry) => {
      const answer = await entry.ask({}, '/p/x', 'a');
      expect(answer.status).to.equal(502);
      expect(answer.body).not.to.equal('x');
    });
  });

  it('does not take a success without a receipt', async () => {
    const bare: Act = (req, res) =>
      res.writeHead(200, { 'x-id': String(req.headers['x-id']) }).end();
    await withEntry([bare], { route: unsafe }, async (entry) => {
      expect((await entry.ask({}, '/p/x', 'a')).status).to.equal(502);
    });
  });

  it('ends at the time limit, and the upstream sees it end', async () => {
    await withEntry([() => {}], { route: { ...unsafe, timeoutMs: 200 } }, async (entry, [up]) => {
      const answer = await entry.ask({}, '/p/x', 'a');
      expect(answer.status).to.equal(504);
      expect(answer.ms).to.be.within(150, 600);
      await wait(100);
      expect(up?.brokenOff()).to.equal(1);
    });
  });

  // A timer of the attempt ran out just before that of the caller's time, and the caller was told
  // of a failed upstream.
  it('is told as late when the time limit ends its only attempt', async () => {
    let looks = 0;
    const clock = {
      ...systemClock,
      monotonic: () => {
        looks += 1;
        return systemClock.monotonic() + looks;
      },
    };
    const route = { ...unsafe, timeoutMs: 200 };
    await withEntry([() => {}], { route, clock }, async (entry) => {
      expect((await entry.ask({}, '/p/x', 'a')).status).to.equal(504);
    });
  });

  // The upstream would work for nobody. The caller leaves in the middle; the upstream's connection
  // is closed, and no other upstream gets the request.
  it('cancels at the upstream when the caller leaves', async () => {
    await withEntry([() => {}, () => {}], {}, async (entry, upstreams) => {
      await entry.ask({}, '/p/x', '', 60);
      await wait(200);
      expect(upstreams.reduce((sum, up) => sum + up.brokenOff(), 0)).to.equal(1);
      expect(runs(upstreams)).to.equal(1);
    });
  });

  it('stops retrying when the budget is spent, and says that nothing ran', async () => {
    const acts = [refuseUnrun, refuseUnrun];
    await withEntry(acts, { retryAllowance: 0 }, async (entry, upstreams) => {
      const answer = await entry.ask();
      expect(answer.status).to.equal(503);
      expect(runs(upstreams)).to.equal(1);
    });
  });
});

describe('connections that an upstream accepts from all entries', () => {
  // One upstream holds its only connection, the other one can't be reached. Sent on to the first one, the request
  // would be reset there, and nobody could tell whether it ran.
  it('are not exceeded by an attempt that follows another one', async () => {
    const services = [{ name: 's', maxConnections: 1, engine: undefined }];
    await withEntry(
      [answerOk(), answerOk()],
      { intent: { services } },
      async (entry, upstreams) => {
        const [first, second] = upstreams;
        first?.act(() => {});
        second?.act(() => {});
        const held = entry.ask({ 'x-id': 'held' }, '/p/held');
        await wait(50);
        const [holding, other] = first?.seen.length === 1 ? [first, second] : [second, first];
        await other?.close();
        expect(await entry.ask()).to.include({ status: 503, body: 'upstreams-full\n' });
        expect(holding?.seen.map(({ headers }) => headers['x-id'])).to.deep.equal(['held']);
        await held;
      },
    );
  });
});

describe('turning a request away', () => {
  const rows: [string, Omit<EntryOptions, 'upstreams'>, string, number][] = [
    ['without an intent: 503', { withoutIntent: true }, '/p/x', 503],
    ['an unknown path: 404', {}, '/q/x', 404],
    ['an unknown path with an outdated intent: 503', { intentAge: 5_000 }, '/q/x', 503],
    [
      'a key that nobody holds: 401',
      { route: { anonymous: false }, intent: { organisations: [] } },
      '/p/x',
      401,
    ],
    [
      'a key that nobody holds with an outdated intent: 503',
      { route: { anonymous: false }, intent: { organisations: [] }, intentAge: 5_000 },
      '/p/x',
      503,
    ],
  ];
  rows.forEach(([title, options, path, status]) => {
    it(title, async () => {
      await withEntry([answerOk()], options, async (entry, upstreams) => {
        const answer = await entry.ask({}, path);
        expect(answer.status).to.equal(status);
        expect(answer.headers['retry-after'] !== undefined).to.equal(status === 503);
        expect(runs(upstreams)).to.equal(0);
      });
    });
  });

  // The entry's grace is nearly over. A request taken now would be cut in its middle, and the caller
  // could not know whether it ran; told that it did not, it goes to another entry at once.
  it('an entry that ends soon: 503, and nothing reaches an upstream', async () => {
    await withEntry([answerOk()], { isClosing: true }, async (entry, upstreams) => {
      const answer = await entry.ask();
      expect(answer).to.include({ status: 503, body: 'stopping\n' });
      expect(Number(answer.headers['retry-after'])).to.be.below(0.3);
      expect(runs(upstreams)).to.equal(0);
    });
  });

  it('a body over the limit: 413, and nothing reaches an upstream', async () => {
    await withEntry([answerOk()], {}, async (entry, upstreams) => {
      expect((await entry.ask({}, '/p/x', 'b'.repeat(1_001))).status).to.equal(413);
      expect(runs(upstreams)).to.equal(0);
    });
  });

  it('names the organisation of a key and keeps the key to itself', async () => {
    const organisations = [{ name: 'o', apiKeys: ['k'], priority: undefined }];
    const options = { route: { anonymous: false }, intent: { organisations } };
    await withEntry([answerOk()], options, async (entry, [upstream]) => {
      expect((await entry.ask({ 'x-key': 'k' })).status).to.equal(200);
      expect(upstream?.seen[0]?.headers).to.include({ 'x-org': 'o' });
      expect(upstream?.seen[0]?.headers['x-key']).to.equal(undefined);
    });
  });
});

describe('answers and refusals that mislead', () => {
  // The caller would take a short body for whole. An upstream crashes in the middle of an answer
  // without a length and its connection ends cleanly; with a length added here nothing would tell.
  it('does not put a length on an answer that had none', async () => {
    const unframed: Act = (req, res) => {
      res.removeHeader('Transfer-Encoding');
      res.writeHead(200, { ...soundHeaders(req), connection: 'close' }).end('as far as it came');
    };
    await withEntry([unframed], { route: unsafe }, async (entry) => {
      const answer = await entry.ask({}, '/p/x', 'a');
      expect(answer).to.include({ status: 200, body: 'as far as it came' });
      expect(answer.headers).to.not.have.any.keys('content-length', 'transfer-encoding');
      expect(answer.headers.connection).to.equal('close');
    });
  });

  // After a loss of power all upstreams are new instances, and their old entries stand for seconds.
  // Each old one is asked once; without that every request spends the budget on several of them.
  it('does not ask an instance again whose address another one has', async () => {
    const other: Act = (_, res) => res.writeHead(421).end();
    await withEntry([other, answerOk()], { route: { maxAttempts: 3 } }, async (entry, ups) => {
      for (let n = 0; n < 6; n += 1) expect((await entry.ask()).status).to.equal(200);
      expect(ups[0]?.seen.length).to.be.at.most(1);
    });
  });

  // A group forms anew and every rank refuses, for longer than callers can wait. One of them asks in
  // turn for all, and all are refused with a time to come back; the budget is left for what can
  // succeed.
  it('asks for one caller at a time when most upstreams of a service refuse', async () => {
    const acts = Array.from({ length: 6 }, () => refuseUnrun);
    const route = { ...stream, maxAttempts: 2, timeoutMs: 3_000 };
    await withEntry(acts, { route }, async (entry, upstreams) => {
      await Promise.all([1, 2, 3, 4].map(() => entry.ask()));
      const before = runs(upstreams);
      const answers = await Promise.all(Array.from({ length: 12 }, () => entry.ask()));
      expect(runs(upstreams) - before).to.be.at.most(12);
      answers.forEach(({ status, headers, ms }) => {
        expect(status).to.equal(503);
        expect(ms).to.be.below(1_500);
        // A group takes 600 ms to form; a caller that comes back once must not come before.
        expect(Number(headers['retry-after'])).to.be.above(0.6);
      });
    });
  });
});
