import { expect } from 'chai';
import { refuseUnrun, soundHeaders, streamEvents } from './support/fake-upstream.js';
import type { Act } from './support/fake-upstream.js';
import { eventsOf, runs, stream, wait, withEntry } from './support/with-entry.js';

describe('serving a stream', () => {
  it('passes events on and ends cleanly', async () => {
    await withEntry([streamEvents([1, 2, 3], 'whole')], { route: stream }, async (entry) => {
      const answer = await entry.ask();
      expect(eventsOf(answer.body)).to.deep.equal([1, 2, 3]);
      expect(answer.isWhole).to.equal(true);
    });
  });

  // The caller sees one whole stream. The first upstream breaks off after three events; the second
  // goes on after the third, and sends the last event once more, which is left out.
  it('resumes a broken stream elsewhere, without a hole or a repeat', async () => {
    const first = streamEvents([1, 2, 3], 'reset');
    const second = streamEvents([3, 4, 5], 'whole');
    let isFirst = true;
    const act: Act = (req, res) => {
      (isFirst ? first : second)(req, res);
      isFirst = false;
    };
    await withEntry([act, act], { route: stream }, async (entry, upstreams) => {
      const answer = await entry.ask();
      expect(eventsOf(answer.body)).to.deep.equal([1, 2, 3, 4, 5]);
      expect(answer.isWhole).to.equal(true);
      const resumed = upstreams.flatMap(({ seen }) =>
        seen.map(({ headers }) => headers['x-after']),
      );
      expect(resumed.filter((after) => after !== undefined)).to.deep.equal(['3']);
    });
  });

  // Pieces of two runs with a hole between them would look like one stream.
  it('breaks off visibly when the resumed stream leaves a hole', async () => {
    let isFirst = true;
    const act: Act = (req, res) => {
      streamEvents(isFirst ? [1, 2] : [5, 6], isFirst ? 'reset' : 'whole')(req, res);
      isFirst = false;
    };
    await withEntry([act, act], { route: stream }, async (entry) => {
      const answer = await entry.ask();
      expect(eventsOf(answer.body)).to.deep.equal([1, 2]);
      expect(answer.isWhole).to.equal(false);
    });
  });

  it('breaks off visibly when the route may not resume', async () => {
    const route = { ...stream, resumable: false };
    const acts = [streamEvents([1, 2], 'reset'), streamEvents([1, 2], 'reset')];
    await withEntry(acts, { route }, async (entry, upstreams) => {
      const answer = await entry.ask();
      expect(answer.isWhole).to.equal(false);
      expect(runs(upstreams)).to.equal(1);
    });
  });

  // A stream that stops in the middle of an event and ends cleanly is not whole.
  it('does not end a stream as whole whose last event is cut', async () => {
    const cut: Act = (req, res) => {
      res.writeHead(200, { ...soundHeaders(req), 'content-type': 'text/event-stream' });
      res.end('id: 1\ndata: 1\n\nid: 2\nda');
    };
    const route = { ...stream, resumable: false };
    await withEntry([cut], { route }, async (entry) => {
      const answer = await entry.ask();
      expect(answer.isWhole).to.equal(false);
      expect(answer.body).not.to.include('id: 2');
    });
  });

  it('tells a caller that nothing ran when the stream was refused before its first event', async () => {
    await withEntry([refuseUnrun], { route: stream }, async (entry) => {
      const answer = await entry.ask();
      expect(answer.status).to.equal(503);
      expect(Number(answer.headers['retry-after'])).to.be.above(0);
    });
  });

  it('ends a stream at its upstream when the caller leaves in its middle', async () => {
    await withEntry([streamEvents([1, 2], 'open')], { route: stream }, async (entry, [up]) => {
      await entry.ask({}, '/p/x', '', 100);
      await wait(200);
      expect(up?.brokenOff()).to.equal(1);
    });
  });
});

describe('a stream that has nothing left', () => {
  // The caller comes back for the rest of a stream whose last event it has. The upstream ends at
  // once without an event; the caller must get the upstream's head with its receipt, not one of ours.
  it("is ended with the upstream's head", async () => {
    await withEntry([streamEvents([], 'whole')], { route: stream }, async (entry) => {
      const answer = await entry.ask({ 'x-after': '9' });
      expect(answer).to.include({ status: 200, body: '', isWhole: true });
      expect(answer.headers['x-receipt']).to.equal('r');
    });
  });
});

describe('a stream between two attempts', () => {
  // The upstream breaks off, and the caller leaves in the pause before the stream goes on elsewhere.
  // Another attempt would run for nobody, and nothing would end it.
  it('is not resumed after its caller has left', async () => {
    const act = streamEvents([1, 2], 'reset');
    await withEntry([act, act], { route: stream }, async (entry, upstreams) => {
      await entry.ask({}, '/p/x', '', 60);
      await wait(400);
      expect(runs(upstreams)).to.equal(1);
    });
  });
});
