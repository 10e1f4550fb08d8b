import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { expect } from 'chai';
import type { Dispatch, Link, PeerFrame } from '@plantaindrum/link';
import { runCli } from '../src/index.js';
import type { FakeAgent } from './support/fake-agent.js';
import { idleLoad, sendAnswer, startFakeAgent } from './support/fake-agent.js';
import type { TestSite } from './support/site.js';
import { KEY, startSite, TOKEN, upstreamVm } from './support/site.js';

const body = JSON.stringify({ model: 'lot-writer', prompt: 'a car' });
const inLynnwood = { kind: 'model', model: 'lot-writer', data_centre: 'lynnwood' };

const answerAll = (frame: PeerFrame, link: Link): void => {
  if (frame.t === 'dispatch') sendAnswer(link, frame, '{}');
};

const dispatches = ({ frames }: FakeAgent): Dispatch[] =>
  frames.filter((frame) => frame.t === 'dispatch');

describe('draining', () => {
  const closeables: { close(): Promise<void> }[] = [];
  let kent: FakeAgent;
  let lynnwood: FakeAgent;
  let site: TestSite;

  const start = async (script: (frame: PeerFrame, link: Link) => void): Promise<void> => {
    kent = await startFakeAgent(script, { instance: 'kent-1' });
    lynnwood = await startFakeAgent(script, { instance: 'lynnwood-1' });
    site = await startSite([
      upstreamVm('kent-u1', kent.address),
      upstreamVm('lynnwood-u1', lynnwood.address, inLynnwood),
    ]);
    closeables.push(site, kent, lynnwood);
  };

  afterEach(async () => {
    for (const part of closeables.splice(0)) await part.close();
  });

  const callMany = async (count: number): Promise<void> => {
    const calls = Array.from({ length: count }, () => site.call('/v1/completions', { body }));
    const answers = await Promise.all(calls);
    expect(answers.map(({ status }) => status)).to.deep.equal(calls.map(() => 200));
  };

  /*
   * The agent reports that it is leaving while the VM list still shows it as live. After that frame
   * it gets no new requests, and every caller is served by the other upstream.
   */
  it('sends no new requests to an upstream whose agent reports that it is leaving', async () => {
    await start(answerAll);
    await callMany(4);
    kent.link()?.send({ t: 'leaving' });
    // The reply follows the frame on the same link, so the entry has handled the frame by then.
    await kent.link()?.call('node.status', {}, 2_000);
    const before = dispatches(kent).length;
    await callMany(8);
    expect(dispatches(kent).length).to.equal(before);
  });

  /*
   * A request that a leaving agent returns did not run, so it is retried at another upstream, even
   * when it may not be repeated.
   */
  it('retries a request elsewhere that a leaving agent reports as not run', async () => {
    const returnAsNotRun = (frame: PeerFrame, link: Link): void => {
      if (frame.t !== 'dispatch') return;
      link.send({ t: 'not-run', id: frame.id, reason: 'leaving', retryAfterMs: 0, load: idleLoad });
    };
    kent = await startFakeAgent(returnAsNotRun);
    lynnwood = await startFakeAgent(answerAll);
    const exports = { kind: 'service', service: 'exports' };
    site = await startSite([
      upstreamVm('u1', kent.address, exports),
      upstreamVm('u2', lynnwood.address, { ...exports, data_centre: 'lynnwood' }),
    ]);
    closeables.push(site, kent, lynnwood);
    const { status } = await site.call('/exports/1', { body: '{}' });
    expect([status, dispatches(lynnwood).length]).to.deep.equal([200, 1]);
  });

  /*
   * An operator stops the data centre of the entry under load. Readiness fails at once, the request
   * in flight is completed, and requests that the load balancer still sends are served at first and
   * refused as not run later. The command ends only when no request is in flight.
   */
  it('stops a data centre without aborting a request', async () => {
    const heldDispatches: [Link, Dispatch][] = [];
    await start((frame, link) => {
      if (frame.t !== 'dispatch') return;
      if (frame.path.endsWith('?held')) heldDispatches.push([link, frame]);
      else sendAnswer(link, frame, '{}');
    });
    const slow = site.call('/v1/completions?held', { body });
    await Promise.race([kent.next('dispatch'), lynnwood.next('dispatch')]);
    const lines: string[] = [];
    let resolvePrinted = (): void => {};
    const inFlightPrinted = new Promise<void>((resolve) => {
      resolvePrinted = resolve;
    });
    const io = {
      out: (line: string) => {
        lines.push(line);
        if (line.startsWith('in flight')) resolvePrinted();
      },
      err: (line: string) => lines.push(line),
      env: { PLANTAINDRUM_OPERATORS: site.entry.operators, PLANTAINDRUM_TOKEN: TOKEN },
    };
    const stopCommand = runCli(['data-centre', 'stop', 'kent', '--author', 'op'], io);
    await inFlightPrinted;
    expect((await site.operators('GET', '/ready')).status).to.equal(503);
    await callMany(4);
    heldDispatches.forEach(([link, dispatch]) => sendAnswer(link, dispatch, '{"whole":true}'));
    expect((await slow).text).to.equal('{"whole":true}');
    expect(await stopCommand).to.equal(0);
    expect(lines.at(-1)).to.equal('kent is stopped: nothing is in flight');
    const afterStop = await site.call('/v1/completions', { body });
    expect([afterStop.status, afterStop.headers['x-plantaindrum-reason']]).to.deep.equal([
      503,
      'data-centre-stopping',
    ]);

    const startExitCode = await runCli(['data-centre', 'start', 'kent', '--author', 'op'], io);
    expect(startExitCode).to.equal(0);
    expect((await site.operators('GET', '/ready')).status).to.equal(200);
  });

  it('sends no new requests to another data centre that is stopped', async () => {
    await start(answerAll);
    const value = { state: 'stopped' };
    const changes = [{ key: 'dataCentres/lynnwood', base: -1, value }];
    await site.operators('POST', '/intent', { id: 'stop', author: 'op', changes });
    const before = dispatches(lynnwood).length;
    await callMany(8);
    expect(dispatches(lynnwood).length).to.equal(before);
  });

  it('refuses a request that only a stopped data centre could serve', async () => {
    lynnwood = await startFakeAgent(answerAll);
    site = await startSite([upstreamVm('lynnwood-u1', lynnwood.address, inLynnwood)]);
    closeables.push(site, lynnwood);
    const changes = [{ key: 'dataCentres/lynnwood', base: -1, value: { state: 'stopped' } }];
    await site.operators('POST', '/intent', { id: 'stop', author: 'op', changes });
    const { status, headers } = await site.call('/v1/completions', { body });
    expect([status, headers['x-plantaindrum-reason']]).to.deep.equal([503, 'no-upstream']);
    expect(dispatches(lynnwood)).to.deep.equal([]);
  });

  /*
   * An entry is drained, as on SIGTERM: readiness fails first, so that the load balancer moves on,
   * and the request in flight is completed before the servers close.
   */
  it('completes requests in flight before the entry closes', async () => {
    const heldDispatches: [Link, Dispatch][] = [];
    await start((frame, link) => {
      if (frame.t === 'dispatch') heldDispatches.push([link, frame]);
    });
    const slow = site.call('/v1/completions', { body });
    await Promise.race([kent.next('dispatch'), lynnwood.next('dispatch')]);
    const drained = site.drain();
    expect((await site.operators('GET', '/ready')).status).to.equal(503);
    heldDispatches.forEach(([link, dispatch]) => sendAnswer(link, dispatch, '{"whole":true}'));
    expect((await slow).text).to.equal('{"whole":true}');
    await drained;
  });

  // Guards against a request that is sent to an upstream by an entry that stops, because its body was complete late.
  it('refuses a request whose body is complete after the entry has stopped accepting requests', async () => {
    await start(answerAll);
    const headers = { authorization: `Bearer ${KEY}`, 'content-length': String(body.length) };
    const url = `${site.entry.callers}/v1/completions`;
    const req = request(url, { method: 'POST', headers });
    const answer = new Promise<IncomingMessage>((resolve, reject) => {
      req.on('response', resolve);
      req.on('error', reject);
    });
    req.write(body.slice(0, 10));
    const drained = site.drain();
    const isListening = (): Promise<boolean> =>
      site.call('/v1/completions', { body }).then(
        ({ status }) => status === 200,
        () => false,
      );
    while (await isListening());
    const before = dispatches(kent).length + dispatches(lynnwood).length;
    req.end(body.slice(10));
    const { statusCode, headers: received } = await answer;
    expect([statusCode, received['x-plantaindrum-outcome'], received.connection]).to.deep.equal([
      ...[503, 'not-run', 'close'],
    ]);
    expect(received['retry-after']).to.equal('1');
    expect(dispatches(kent).length + dispatches(lynnwood).length).to.equal(before);
    await drained;
  });
});
