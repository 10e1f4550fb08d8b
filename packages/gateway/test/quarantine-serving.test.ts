import { expect } from 'chai';
import { resetConnection, startFakeUpstream, answerOk } from './support/fake-upstream.js';
import type { Handler, FakeUpstream } from './support/fake-upstream.js';
import { startEntry } from './support/entry.js';
import { streamRoute, wait } from './support/with-entry.js';

/** Simulates the crash of an upstream's process: its connections are reset, and refused from then on. */
const crashOn = (
  isHarmful: (body: string) => boolean,
  upstreams: () => FakeUpstream[],
): Handler => {
  const act: Handler = (req, res) => {
    if (!isHarmful(req.body)) {
      answerOk()(req, res);
      return;
    }
    resetConnection(req, res);
    void upstreams()
      .find(({ seen }) => seen.includes(req))
      ?.close();
  };
  return act;
};

describe('serving requests that crash upstreams', () => {
  // A request crashes each upstream that runs it, and its caller keeps sending it. Without a quarantine it would
  // crash all six upstreams. Other requests are still served.
  it('quarantines a request after three crashes, and refuses it at once', async () => {
    const upstreams: FakeUpstream[] = [];
    const act = crashOn(
      (body) => body === 'harmful',
      () => upstreams,
    );
    for (let n = 0; n < 6; n += 1) upstreams.push(await startFakeUpstream(act));
    const route = { ...streamRoute, maxAttempts: 2 };
    const entry = await startEntry({ upstreams, route });
    try {
      const answers: number[] = [];
      for (let n = 0; n < 6; n += 1) {
        const answer = await entry.send({ 'x-id': `q${n}` }, '/p/x', 'harmful');
        answers.push(answer.status);
        await wait(250);
      }
      const crashed = upstreams.filter(({ seen }) => seen.some(({ body }) => body === 'harmful'));
      expect(crashed).to.have.lengthOf(3);
      // The last requests have not run: the status says so, and `retry-after` says when to retry.
      expect(answers.slice(-3)).to.deep.equal([503, 503, 503]);
      const last = await entry.send({ 'x-id': 'q9' }, '/p/x', 'harmful');
      expect(last.body).to.equal('quarantined\n');
      expect(last.ms).to.be.below(200);
      expect(Number(last.headers['retry-after'])).to.be.above(300);
      expect((await entry.send({ 'x-id': 'q10' }, '/p/x', 'other')).status).to.equal(200);
    } finally {
      await entry.close();
    }
  });

  // Upstreams that have ended stay listed for a moment and refuse connections, or another one has their address. A
  // request that was sent to none of them would be quarantined for having tried three.
  (['refused connections', 'addresses of other instances'] as const).forEach((sign) => {
    it(`does not quarantine a request that reached none of its upstreams: ${sign}`, async () => {
      const upstreams: FakeUpstream[] = [];
      const replaced: Handler = (_, res) => {
        res.writeHead(421).end();
      };
      for (let n = 0; n < 5; n += 1) upstreams.push(await startFakeUpstream(replaced));
      const entry = await startEntry({ upstreams, route: { ...streamRoute, maxAttempts: 5 } });
      try {
        if (sign === 'refused connections') {
          await Promise.all(upstreams.map(({ close }) => close()));
        }
        for (let n = 0; n < 3; n += 1) {
          const answer = await entry.send({ 'x-id': `q${n}` }, '/p/x', 'harmless');
          expect(answer.body).not.to.equal('quarantined\n');
        }
        expect(entry.metrics.exposition()).not.to.include('gateway_crashes_seen');
      } finally {
        await entry.close();
      }
    });
  });
});
