import { connect } from 'node:net';
import { expect } from 'chai';
import { createManualClock, systemClock } from '@plantaindrum/common';
import { createLifecycle } from '../src/lifecycle/lifecycle.js';
import type { Lifecycle } from '../src/lifecycle/lifecycle.js';
import { answerOk, refuseNotRun, validHeaders } from './support/fake-upstream.js';
import type { Handler } from './support/fake-upstream.js';
import { countRequests, streamRoute, wait, withEntry } from './support/with-entry.js';

const GRACE_MS = 8_000;
const ROUTE = { name: 'r' };

/** Records as many answers as it takes until service times count. */
const recordAnswers = (lifecycle: Lifecycle, ms: number): void => {
  for (let answers = 0; answers < 20; answers += 1) lifecycle.recordServed(ROUTE.name, ms);
};

describe('requests that a stopping entry accepts', () => {
  const startStop = (servedMs?: number) => {
    const clock = createManualClock();
    const lifecycle = createLifecycle(clock);
    if (servedMs !== undefined) recordAnswers(lifecycle, servedMs);
    const stop = (): void => lifecycle.stop(clock.monotonic() + GRACE_MS);
    const canServe = (ms: number): boolean =>
      lifecycle.canServe({ route: ROUTE, deadlineAt: clock.monotonic() + ms });
    return { clock, lifecycle, stop, canServe };
  };

  it('are all before the stop signal', () => {
    expect(startStop().canServe(60_000)).to.equal(true);
  });

  // Guards against accepting work on the strength of too few observations.
  it('are those whose deadline is before the exit, if service times are unknown', async () => {
    const { clock, lifecycle, stop, canServe } = startStop();
    lifecycle.recordServed(ROUTE.name, 1_000);
    stop();
    expect([canServe(8_000), canServe(8_001)]).to.deep.equal([true, false]);
    await clock.advance(6_000);
    expect([canServe(2_000), canServe(2_001)]).to.deep.equal([true, false]);
  });

  // Guards against refusing new callers that the load balancer still sends, though their requests take a second.
  it('are also those that are expected to end in time, while the load balancer notices', async () => {
    const { clock, lifecycle, stop, canServe } = startStop(1_000);
    stop();
    expect(canServe(60_000)).to.equal(true);
    await clock.advance(2_500);
    expect(canServe(60_000)).to.equal(true);
    await clock.advance(1);
    expect(canServe(60_000)).to.equal(false);
    lifecycle.enter('closing');
    expect(canServe(5_000)).to.equal(true);
  });

  // Guards against streams of 5.5 s that are accepted two seconds after the stop signal and cut (LOST).
  it('are not those that are expected to last beyond the exit', async () => {
    const { clock, stop, canServe } = startStop(5_600);
    stop();
    expect(canServe(60_000)).to.equal(true);
    await clock.advance(1_001);
    expect(canServe(60_000)).to.equal(false);
  });

  it('depend on service times of the last minute', async () => {
    const { clock, lifecycle, stop, canServe } = startStop(7_900);
    await clock.advance(30_000);
    recordAnswers(lifecycle, 100);
    await clock.advance(30_000);
    recordAnswers(lifecycle, 100);
    stop();
    expect(canServe(60_000)).to.equal(true);
  });
});

describe('a request that is accepted before the entry stops', () => {
  const REFUSED = { status: 503, body: 'stopping\n', isComplete: true };
  /** Time until the exit, in ms: shorter than the route's timeout. */
  const LEFT_MS = 500;

  // Guards against a request that waits for a retry while the entry stops, and is cut when the entry exits.
  it('is refused after an attempt that has not run, if it could not be served', async () => {
    const lifecycle = createLifecycle(systemClock);
    const refuseAndStop: Handler = (req, res) => {
      lifecycle.stop(systemClock.monotonic() + LEFT_MS);
      refuseNotRun(req, res);
    };
    await withEntry([refuseAndStop, refuseAndStop], { lifecycle }, async (entry, upstreams) => {
      expect(await entry.send()).to.include(REFUSED);
      expect(countRequests(upstreams)).to.equal(1);
    });
  });

  // Guards against a caller that waits for a closed group until the entry exits.
  it('is refused at once if it waits for its service', async () => {
    const lifecycle = createLifecycle(systemClock);
    const route = { ...streamRoute, timeoutMs: 10_000 };
    await withEntry([refuseNotRun], { lifecycle, route }, async (entry, upstreams) => {
      entry.outages.recordRefusal('s');
      const sent = entry.send({ 'x-wait': '9000', 'x-after': '1' });
      await wait(50);
      lifecycle.stop(systemClock.monotonic() + LEFT_MS);
      const response = await sent;
      expect(response).to.include(REFUSED);
      expect(response.ms).to.be.below(LEFT_MS);
      expect(countRequests(upstreams)).to.equal(0);
    });
  });

  // Guards against cutting work that has begun because the entry stops.
  it('is served if its attempt has begun', async () => {
    const lifecycle = createLifecycle(systemClock);
    const answerLate: Handler = (req, res) => {
      lifecycle.stop(systemClock.monotonic() + LEFT_MS);
      setTimeout(() => res.writeHead(200, validHeaders(req)).end('late'), 100);
    };
    await withEntry([answerLate], { lifecycle }, async (entry) => {
      const response = await entry.send();
      expect(response).to.include({ status: 200, body: 'late', isComplete: true });
      expect(response.headers.connection).to.equal('close');
    });
  });

  // Guards against a connection that closes without an answer although the outcome is known to be unknown.
  it('is answered with 502 if it is still running when the entry exits', async () => {
    const lifecycle = createLifecycle(systemClock);
    await withEntry([() => {}], { lifecycle }, async (entry) => {
      const sent = entry.send();
      await wait(50);
      lifecycle.stop(systemClock.monotonic());
      lifecycle.enter('exiting');
      const response = await sent;
      expect(response).to.include({ status: 502, body: 'stopping\n', isComplete: true });
      expect(response.headers['retry-after']).to.equal(undefined);
    });
  });
});

describe('a refusal while the caller still sends its body', () => {
  // Guards against a refusal that is lost because the connection is closed with unread bytes, which resets it.
  it('is received whole, and the connection is closed after the body', async () => {
    const lifecycle = createLifecycle(systemClock);
    lifecycle.stop(systemClock.monotonic());
    await withEntry([answerOk()], { lifecycle }, async (entry) => {
      const received: Buffer[] = [];
      const socket = connect(entry.port, '127.0.0.1');
      socket.write(
        'POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Id: q1\r\nContent-Length: 200\r\n\r\n',
      );
      let sentBytes = 0;
      socket.on('data', (chunk: Buffer) => received.push(chunk));
      const sentBytesAtEnd = new Promise<number>((resolve) => {
        socket.once('end', () => resolve(sentBytes));
      });
      for (let part = 0; part < 20; part += 1) {
        socket.write('0123456789');
        sentBytes += 10;
        await wait(10);
      }
      expect(await sentBytesAtEnd).to.equal(200);
      expect(Buffer.concat(received).toString()).to.match(/^HTTP\/1\.1 503 .*stopping\n$/s);
    });
  });
});
