import { once } from 'node:events';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { systemClock } from '@plantaindrum/common';
import { createLifecycle } from '../src/lifecycle/lifecycle.js';
import { startEntry } from './support/entry.js';
import type { EntryOptions } from './support/entry.js';
import {
  answerOk,
  refuseNotRun,
  resetConnection,
  validHeaders,
  startFakeUpstream,
} from './support/fake-upstream.js';
import type { Handler } from './support/fake-upstream.js';
import { countRequests, streamRoute, unsafeRoute, wait, withEntry } from './support/with-entry.js';

describe('serving a request', () => {
  it('forwards method, path, body and response unchanged', async () => {
    await withEntry([answerOk('hello')], {}, async (entry, [upstream]) => {
      const response = await entry.send({ 'x-extra': 'e' }, '/p/x?y=1', 'body');
      expect(response).to.include({ status: 200, body: 'hello', isComplete: true });
      expect(response.headers['x-receipt']).to.equal('r');
      const [seen] = upstream?.seen ?? [];
      expect(seen).to.include({ method: 'POST', path: '/p/x?y=1', body: 'body' });
      expect(seen?.headers).to.include({ 'x-extra': 'e', 'x-instance': 'i0' });
    });
  });

  it('limits the time of the upstream to that of the caller and of the route', async () => {
    await withEntry([answerOk()], {}, async (entry, [upstream]) => {
      await entry.send({ 'x-wait': '300' });
      await entry.send({ 'x-wait': '90000' });
      const left = (upstream?.seen ?? []).map(({ headers }) => Number(headers['x-left']));
      expect(left[0]).to.be.within(200, 300);
      expect(left[1]).to.be.within(900, 1_000);
    });
  });

  // The upstream that refuses states that it has not run the request, so another one may run it, and the caller gets a
  // response.
  it('retries a refused request at another upstream', async () => {
    await withEntry([refuseNotRun, answerOk()], { route: { maxAttempts: 2 } }, async (entry) => {
      const responses = [await entry.send(), await entry.send(), await entry.send()];
      expect(responses.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
    });
  });

  // Guards against running the same work twice. The upstream has read the request when its connection is reset, so it
  // may have run. No upstream may get the request again, and the status must not invite the caller to retry.
  it('never retries a request that may have run and must not be repeated', async () => {
    const handlers = [resetConnection, resetConnection];
    await withEntry(
      handlers,
      { route: { ...unsafeRoute, maxAttempts: 2 } },
      async (entry, upstreams) => {
        const response = await entry.send({}, '/p/x', 'export');
        expect(response.status).to.equal(502);
        expect(response.headers['retry-after']).to.equal(undefined);
        expect(countRequests(upstreams)).to.equal(1);
      },
    );
  });

  // A 503 without the upstream's statement that the request has not run: if it were forwarded, the caller would retry
  // and the work could be done twice.
  it('does not forward a 503 that does not prove that the request has not run', async () => {
    const incomplete: Handler = (req, res) => res.writeHead(503, validHeaders(req)).end();
    await withEntry([incomplete], { route: unsafeRoute }, async (entry, upstreams) => {
      const response = await entry.send({}, '/p/x', 'export');
      expect(response.status).to.equal(502);
      expect(countRequests(upstreams)).to.equal(1);
    });
  });

  it('retries a safe request after a connection reset and after an error of the upstream', async () => {
    const failing: Handler = (req, res) => res.writeHead(500, validHeaders(req)).end('no');
    await withEntry([resetConnection, answerOk()], {}, async (entry) => {
      expect((await entry.send()).status).to.equal(200);
      expect((await entry.send()).status).to.equal(200);
    });
    await withEntry([failing, failing], {}, async (entry, upstreams) => {
      const response = await entry.send();
      expect(response).to.include({ status: 500, body: 'no' });
      expect(countRequests(upstreams)).to.equal(2);
    });
  });

  // An upstream has exited and its port has no listener. Nothing was sent, so even a request that must not be repeated
  // is sent to another upstream, and if there is none left the caller is told that nothing ran.
  it('retries at another upstream when no connection was established', async () => {
    const exited = await startFakeUpstream(answerOk());
    await exited.close();
    const running = await startFakeUpstream(answerOk());
    const entry = await startEntry({ upstreams: [exited, running], route: unsafeRoute });
    const responses = [await entry.send({}, '/p/x', 'a'), await entry.send({}, '/p/x', 'b')];
    expect(responses.map(({ status }) => status)).to.deep.equal([200, 200]);
    await running.close();
    const refused = await entry.send({}, '/p/x', 'c');
    expect(refused.status).to.equal(503);
    expect(Number(refused.headers['retry-after'])).to.be.above(0);
    await entry.close();
  });

  // An upstream sends the late response to another request on the connection of this one. The caller must not get it.
  it('does not forward the response to another request', async () => {
    const wrongResponse: Handler = (_, res) =>
      res.writeHead(200, { 'x-id': 'other', 'x-receipt': 'r' }).end('x');
    await withEntry([wrongResponse], { route: unsafeRoute }, async (entry) => {
      const response = await entry.send({}, '/p/x', 'a');
      expect(response.status).to.equal(502);
      expect(response.body).not.to.equal('x');
    });
  });

  it('rejects a successful response without a receipt', async () => {
    const incomplete: Handler = (req, res) =>
      res.writeHead(200, { 'x-id': String(req.headers['x-id']) }).end();
    await withEntry([incomplete], { route: unsafeRoute }, async (entry) => {
      expect((await entry.send({}, '/p/x', 'a')).status).to.equal(502);
    });
  });

  it('ends at the timeout, and closes the connection to the upstream', async () => {
    await withEntry(
      [() => {}],
      { route: { ...unsafeRoute, timeoutMs: 200 } },
      async (entry, [upstream]) => {
        const response = await entry.send({}, '/p/x', 'a');
        expect(response.status).to.equal(504);
        expect(response.ms).to.be.within(150, 600);
        await wait(100);
        expect(upstream?.abortedRequests()).to.equal(1);
      },
    );
  });

  // If the attempt had a timeout of its own that ended just before the request's deadline, the caller would get the
  // status of a failed upstream. The clock advances with each read to bring this about.
  it('responds with 504 when the timeout ends the only attempt', async () => {
    let reads = 0;
    const clock = {
      ...systemClock,
      monotonic: () => {
        reads += 1;
        return systemClock.monotonic() + reads;
      },
    };
    const route = { ...unsafeRoute, timeoutMs: 200 };
    await withEntry([() => {}], { route, clock }, async (entry) => {
      expect((await entry.send({}, '/p/x', 'a')).status).to.equal(504);
    });
  });

  // The caller disconnects while the upstream works on its request: the connection to the upstream must be closed, and
  // no other upstream may get the request.
  it('cancels the request at the upstream when the caller disconnects', async () => {
    await withEntry([() => {}, () => {}], {}, async (entry, upstreams) => {
      await entry.send({}, '/p/x', '', 60);
      await wait(200);
      expect(upstreams.reduce((sum, upstream) => sum + upstream.abortedRequests(), 0)).to.equal(1);
      expect(countRequests(upstreams)).to.equal(1);
    });
  });

  it('stops retrying when the retry budget is used up, and says that nothing ran', async () => {
    const handlers = [refuseNotRun, refuseNotRun];
    await withEntry(handlers, { retryAllowance: 0 }, async (entry, upstreams) => {
      const response = await entry.send();
      expect(response.status).to.equal(503);
      expect(countRequests(upstreams)).to.equal(1);
    });
  });
});

describe('the connection limit of an upstream', () => {
  // One upstream has its only connection in use, the other one can't be reached. If the request were retried at the
  // first one, its connection would be reset there, and it would be unknown whether it ran.
  it('is not exceeded by a retry', async () => {
    const services = [{ name: 's', maxConnections: 1, healthPath: undefined, engine: undefined }];
    await withEntry(
      [answerOk(), answerOk()],
      { intent: { services } },
      async (entry, upstreams) => {
        const [first, second] = upstreams;
        first?.setHandler(() => {});
        second?.setHandler(() => {});
        const held = entry.send({ 'x-id': 'held' }, '/p/held');
        await wait(50);
        const [holding, other] = first?.seen.length === 1 ? [first, second] : [second, first];
        await other?.close();
        expect(await entry.send()).to.include({ status: 503, body: 'upstreams-full\n' });
        expect(holding?.seen.map(({ headers }) => headers['x-id'])).to.deep.equal(['held']);
        await held;
      },
    );
  });
});

describe('refusing a request', () => {
  const rows: [string, Omit<EntryOptions, 'upstreams'>, string, number][] = [
    ['without an intent: 503', { withoutIntent: true }, '/p/x', 503],
    ['an unknown path: 404', {}, '/q/x', 404],
    ['an unknown path with an outdated intent: 503', { intentAgeMs: 5_000 }, '/q/x', 503],
    [
      'an unknown API key: 401',
      { route: { anonymous: false }, intent: { organisations: [] } },
      '/p/x',
      401,
    ],
    [
      'an unknown API key with an outdated intent: 503',
      { route: { anonymous: false }, intent: { organisations: [] }, intentAgeMs: 5_000 },
      '/p/x',
      503,
    ],
  ];
  rows.forEach(([title, options, path, status]) => {
    it(title, async () => {
      await withEntry([answerOk()], options, async (entry, upstreams) => {
        const response = await entry.send({}, path);
        expect(response.status).to.equal(status);
        expect(response.headers['retry-after'] !== undefined).to.equal(status === 503);
        expect(countRequests(upstreams)).to.equal(0);
      });
    });
  });

  // The grace period is nearly over. A request accepted now would be cut off, and the caller could not know whether it
  // ran. If it is told that it did not run, it retries at another entry at once.
  it('an entry that exits soon: 503, and nothing reaches an upstream', async () => {
    const lifecycle = createLifecycle(systemClock);
    lifecycle.enter('closing');
    await withEntry([answerOk()], { lifecycle }, async (entry, upstreams) => {
      const response = await entry.send();
      expect(response).to.include({ status: 503, body: 'stopping\n' });
      expect(Number(response.headers['retry-after'])).to.be.below(0.3);
      expect(countRequests(upstreams)).to.equal(0);
    });
  });

  it('a body over the limit: 413, and nothing reaches an upstream', async () => {
    await withEntry([answerOk()], {}, async (entry, upstreams) => {
      expect((await entry.send({}, '/p/x', 'b'.repeat(1_001))).status).to.equal(413);
      expect(countRequests(upstreams)).to.equal(0);
    });
  });

  it('sends the organisation of an API key to the upstream, but not the key', async () => {
    const organisations = [{ name: 'o', apiKeys: ['k'], priority: undefined }];
    const options = { route: { anonymous: false }, intent: { organisations } };
    await withEntry([answerOk()], options, async (entry, [upstream]) => {
      expect((await entry.send({ 'x-key': 'k' })).status).to.equal(200);
      expect(upstream?.seen[0]?.headers).to.include({ 'x-org': 'o' });
      expect(upstream?.seen[0]?.headers['x-key']).to.equal(undefined);
    });
  });
});

describe('misleading responses and refusals', () => {
  // Guards against a body that is cut by the end of the entry and looks complete, because nothing marked its end (MIXED).
  it('marks the end of a response that had no length', async () => {
    const unframed: Handler = (req, res) => {
      res.removeHeader('Transfer-Encoding');
      res.writeHead(200, { ...validHeaders(req), connection: 'close' }).end('whole');
    };
    await withEntry([unframed], { route: unsafeRoute }, async (entry) => {
      const response = await entry.send({}, '/p/x', 'a');
      expect(response).to.include({ status: 200, body: 'whole', isComplete: true });
      expect(response.headers['content-length']).to.equal('5');
    });
  });

  // Guards against the same with a caller that reads slowly while the entry is killed.
  it('does not look complete when the entry ends while it sends', async () => {
    const body = 'x'.repeat(6_000_000);
    const unframed: Handler = (req, res) => {
      res.removeHeader('Transfer-Encoding');
      res.writeHead(200, { ...validHeaders(req), connection: 'close' }).end(body);
    };
    await withEntry([unframed], { route: unsafeRoute }, async (entry) => {
      const headers = { host: 'a.example', 'x-id': 'q1' };
      const req = request({ host: '127.0.0.1', port: entry.port, path: '/p/x', headers });
      req.end();
      const [res] = (await once(req, 'response')) as [IncomingMessage];
      const ended = new Promise((resolve) => {
        res.once('close', resolve);
      });
      entry.closeConnections();
      res.on('error', () => {});
      res.resume();
      await ended;
      expect(res.complete).to.equal(false);
    });
  });

  // A short call is on time only if the entry adds little to it.
  it('checks within a moment that the upstream of a response without a length goes on running', async () => {
    const unframed: Handler = (req, res) => {
      res.useChunkedEncodingByDefault = false;
      res.writeHead(200, validHeaders(req)).end('done');
    };
    await withEntry([unframed], { route: unsafeRoute }, async (entry) => {
      const times: number[] = [];
      for (let n = 0; n < 5; n += 1) times.push((await entry.send({}, '/p/x', 'a')).ms);
      expect(Math.min(...times)).to.be.below(60);
    });
  });

  // After a power failure all upstreams are new instances, and their old entries stay listed for some seconds. Each of
  // these is tried once at most; otherwise every request would use up the retry budget on several of them.
  it('does not retry an instance whose address another one has taken', async () => {
    const other: Handler = (_, res) => res.writeHead(421).end();
    await withEntry(
      [other, answerOk()],
      { route: { maxAttempts: 3 } },
      async (entry, upstreams) => {
        for (let n = 0; n < 6; n += 1) expect((await entry.send()).status).to.equal(200);
        expect(upstreams[0]?.seen.length).to.be.at.most(1);
      },
    );
  });

  // A group re-forms and every rank refuses, for longer than callers can wait. One request at a time probes the service
  // for all, and all are refused with a retry delay, so that the retry budget is left for requests that can succeed.
  it('probes for one caller at a time when most upstreams of a service refuse', async () => {
    const handlers = Array.from({ length: 6 }, () => refuseNotRun);
    const route = { ...streamRoute, maxAttempts: 2, timeoutMs: 3_000 };
    await withEntry(handlers, { route }, async (entry, upstreams) => {
      await Promise.all([1, 2, 3, 4].map(() => entry.send()));
      const before = countRequests(upstreams);
      const responses = await Promise.all(Array.from({ length: 12 }, () => entry.send()));
      expect(countRequests(upstreams) - before).to.be.at.most(12);
      responses.forEach(({ status, headers, ms }) => {
        expect(status).to.equal(503);
        expect(ms).to.be.below(1_500);
        // A group takes 600 ms to re-form; callers retry once, and must not do so before.
        expect(Number(headers['retry-after'])).to.be.above(0.6);
      });
    });
  });
});
