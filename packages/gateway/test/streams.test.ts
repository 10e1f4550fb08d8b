import { expect } from 'chai';
import { startEntry } from './support/entry.js';
import {
  refuseNotRun,
  startFakeUpstream,
  streamEvents,
  validHeaders,
} from './support/fake-upstream.js';
import type { FakeUpstream, Handler } from './support/fake-upstream.js';
import { eventIdsOf, countRequests, streamRoute, wait, withEntry } from './support/with-entry.js';

describe('serving a stream', () => {
  it('forwards events and ends cleanly', async () => {
    await withEntry([streamEvents([1, 2, 3], 'whole')], { route: streamRoute }, async (entry) => {
      const response = await entry.send();
      expect(eventIdsOf(response.body)).to.deep.equal([1, 2, 3]);
      expect(response.isComplete).to.equal(true);
    });
  });

  // The first upstream breaks off after three events; the second one continues after the third and repeats the last
  // event, which must be dropped. The caller gets one complete stream.
  it('resumes a broken stream at another upstream, without missing or repeated events', async () => {
    const firstPart = streamEvents([1, 2, 3], 'reset');
    const secondPart = streamEvents([3, 4, 5], 'whole');
    let isFirst = true;
    const handler: Handler = (req, res) => {
      (isFirst ? firstPart : secondPart)(req, res);
      isFirst = false;
    };
    await withEntry([handler, handler], { route: streamRoute }, async (entry, upstreams) => {
      const response = await entry.send();
      expect(eventIdsOf(response.body)).to.deep.equal([1, 2, 3, 4, 5]);
      expect(response.isComplete).to.equal(true);
      const resumed = upstreams.flatMap(({ seen }) =>
        seen.map(({ headers }) => headers['x-after']),
      );
      expect(resumed.filter((after) => after !== undefined)).to.deep.equal(['3']);
    });
  });

  // Parts of two runs with a gap between them would look like one stream.
  it('aborts the response when events are missing in the resumed stream', async () => {
    let isFirst = true;
    const handler: Handler = (req, res) => {
      streamEvents(isFirst ? [1, 2] : [5, 6], isFirst ? 'reset' : 'whole')(req, res);
      isFirst = false;
    };
    await withEntry([handler, handler], { route: streamRoute }, async (entry) => {
      const response = await entry.send();
      expect(eventIdsOf(response.body)).to.deep.equal([1, 2]);
      expect(response.isComplete).to.equal(false);
    });
  });

  it('aborts the response when the route is not resumable', async () => {
    const route = { ...streamRoute, resumable: false };
    const handlers = [streamEvents([1, 2], 'reset'), streamEvents([1, 2], 'reset')];
    await withEntry(handlers, { route }, async (entry, upstreams) => {
      const response = await entry.send();
      expect(response.isComplete).to.equal(false);
      expect(countRequests(upstreams)).to.equal(1);
    });
  });

  // A stream that ends cleanly within an event is not complete.
  it('does not end a stream cleanly whose last event is truncated', async () => {
    const truncated: Handler = (req, res) => {
      res.writeHead(200, { ...validHeaders(req), 'content-type': 'text/event-stream' });
      res.end('id: 1\ndata: 1\n\nid: 2\nda');
    };
    const route = { ...streamRoute, resumable: false };
    await withEntry([truncated], { route }, async (entry) => {
      const response = await entry.send();
      expect(response.isComplete).to.equal(false);
      expect(response.body).not.to.include('id: 2');
    });
  });

  // A process that crashes closes its connections like one that has sent its whole answer, if that has no chunks.
  it('resumes a stream without chunks whose upstream has ended between two events', async () => {
    const upstreams: FakeUpstream[] = [];
    const cutAfter =
      (n: number): Handler =>
      (req, res) => {
        res.useChunkedEncodingByDefault = false;
        streamEvents([1, 2], 'whole')(req, res);
        void upstreams[n]?.close();
      };
    const rest = streamEvents([3], 'whole');
    let isFirst = true;
    const handler =
      (n: number): Handler =>
      (req, res) => {
        (isFirst ? cutAfter(n) : rest)(req, res);
        isFirst = false;
      };
    upstreams.push(await startFakeUpstream(handler(0)), await startFakeUpstream(handler(1)));
    const entry = await startEntry({ upstreams, route: streamRoute });
    try {
      const response = await entry.send();
      expect(eventIdsOf(response.body)).to.deep.equal([1, 2, 3]);
      expect(response.isComplete).to.equal(true);
    } finally {
      await entry.close();
    }
  });

  it('ends a stream without chunks whose upstream goes on running', async () => {
    const handler: Handler = (req, res) => {
      res.useChunkedEncodingByDefault = false;
      streamEvents([1, 2], 'whole')(req, res);
    };
    await withEntry([handler, handler], { route: streamRoute }, async (entry, upstreams) => {
      const response = await entry.send();
      expect(eventIdsOf(response.body)).to.deep.equal([1, 2]);
      expect(response.isComplete).to.equal(true);
      expect(countRequests(upstreams)).to.equal(1);
    });
  });

  it('tells a caller that nothing ran when the stream was refused before its first event', async () => {
    await withEntry([refuseNotRun], { route: streamRoute }, async (entry) => {
      const response = await entry.send();
      expect(response.status).to.equal(503);
      expect(Number(response.headers['retry-after'])).to.be.above(0);
    });
  });

  // Guards against a stream that stays silent until its caller gives up: its connection was lost without a reset, while
  // the upstream and the connections of other streams work.
  it('resumes a stream whose connection goes silent while others have events', async () => {
    let silentStreams = 0;
    const handler: Handler = (req, res) => {
      const after = Number(req.headers['x-after'] ?? 0);
      const isSilent = req.headers['x-extra'] !== undefined && after === 0;
      if (isSilent) silentStreams += 1;
      const events = isSilent ? [1, 2] : [1, 2, 3, 4].slice(after);
      streamEvents(events, isSilent ? 'open' : 'whole')(req, res);
    };
    const route = { ...streamRoute, timeoutMs: 5_000 };
    await withEntry([handler, handler], { route }, async (entry) => {
      const silent = entry.send({ 'x-extra': 'silent', 'x-wait': '5000' });
      let isDone = false;
      void silent.then(() => {
        isDone = true;
      });
      while (!isDone) {
        await entry.send();
        await wait(100);
      }
      const response = await silent;
      expect(silentStreams).to.equal(1);
      expect(eventIdsOf(response.body)).to.deep.equal([1, 2, 3, 4]);
      expect(response.isComplete).to.equal(true);
      expect(response.ms).to.be.below(2_000);
    });
  });

  it('ends a stream at its upstream when the caller disconnects', async () => {
    await withEntry([streamEvents([1, 2], 'open')], { route: streamRoute }, async (entry, [up]) => {
      await entry.send({}, '/p/x', '', 100);
      await wait(200);
      expect(up?.abortedRequests()).to.equal(1);
    });
  });
});

describe('a stream without remaining events', () => {
  // The caller resumes a stream whose last event it already has. The upstream ends at once without an event; the
  // caller must get the upstream's head with its receipt, not one by the entry.
  it("ends with the upstream's response head", async () => {
    await withEntry([streamEvents([], 'whole')], { route: streamRoute }, async (entry) => {
      const response = await entry.send({ 'x-after': '9' });
      expect(response).to.include({ status: 200, body: '', isComplete: true });
      expect(response.headers['x-receipt']).to.equal('r');
    });
  });
});

describe('a stream between two attempts', () => {
  // The upstream breaks off, and the caller disconnects in the delay before the stream is resumed at another one.
  // Another attempt would run without a caller, and nothing would end it.
  it('is not resumed after its caller has disconnected', async () => {
    const handler = streamEvents([1, 2], 'reset');
    await withEntry([handler, handler], { route: streamRoute }, async (entry, upstreams) => {
      await entry.send({}, '/p/x', '', 60);
      await wait(400);
      expect(countRequests(upstreams)).to.equal(1);
    });
  });
});
