import { expect } from 'chai';
import type { Dispatch, Link, PeerFrame } from '@plantaindrum/link';
import { runCli } from '../src/index.js';
import type { FakeAgent } from './support/fake-agent.js';
import { sendAnswer, idleLoad, startFakeAgent } from './support/fake-agent.js';
import type { TestSite } from './support/site.js';
import { startSite, TOKEN, upstreamVm } from './support/site.js';

const body = JSON.stringify({ model: 'lot-writer', prompt: 'a car' });
const inLynnwood = { kind: 'model', model: 'lot-writer', data_centre: 'lynnwood' };

const answerAll = (frame: PeerFrame, link: Link): void => {
  if (frame.t === 'dispatch') sendAnswer(link, frame, '{}');
};

const dispatches = ({ frames }: FakeAgent): Dispatch[] =>
  frames.filter((frame) => frame.t === 'dispatch');

describe('leaving', () => {
  const open: { close(): Promise<void> }[] = [];
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
    open.push(site, kent, lynnwood);
  };

  afterEach(async () => {
    for (const part of open.splice(0)) await part.close();
  });

  const callMany = async (count: number): Promise<void> => {
    const calls = Array.from({ length: count }, () => site.call('/v1/completions', { body }));
    const answers = await Promise.all(calls);
    expect(answers.map(({ status }) => status)).to.deep.equal(calls.map(() => 200));
  };

  /*
   * The agent says that it leaves while the platform's list still shows it as live. From that frame
   * on nothing new goes there, and callers notice nothing.
   */
  it('sends nothing new to an upstream that says so, whatever the list shows', async () => {
    await start(answerAll);
    await callMany(4);
    kent.link()?.send({ t: 'leaving' });
    // The answer to this call comes after the frame on the same link, so the frame has been read.
    await kent.link()?.call('node.status', {}, 2_000);
    const before = dispatches(kent).length;
    await callMany(8);
    expect(dispatches(kent).length).to.equal(before);
  });

  /*
   * Work that a leaving agent hands back did not run, so it runs at another upstream, even a call
   * that may not be repeated.
   */
  it('runs work elsewhere that was handed back', async () => {
    const handBack = (frame: PeerFrame, link: Link): void => {
      if (frame.t !== 'dispatch') return;
      link.send({ t: 'not-run', id: frame.id, reason: 'leaving', retryAfterMs: 0, load: idleLoad });
    };
    kent = await startFakeAgent(handBack);
    lynnwood = await startFakeAgent(answerAll);
    const exports = { kind: 'service', service: 'exports' };
    site = await startSite([
      upstreamVm('u1', kent.address, exports),
      upstreamVm('u2', lynnwood.address, { ...exports, data_centre: 'lynnwood' }),
    ]);
    open.push(site, kent, lynnwood);
    const { status } = await site.call('/exports/1', { body: '{}' });
    expect([status, dispatches(lynnwood).length]).to.deep.equal([200, 1]);
  });

  /*
   * An operator stops the entry's own data centre under load. Readiness fails at once, the request
   * in flight is answered whole, what the balancer still sends is served, and later refused as not
   * run; the command ends only when nothing is in flight.
   */
  it('stops a data centre without cutting a request', async () => {
    const held: [Link, Dispatch][] = [];
    await start((frame, link) => {
      if (frame.t !== 'dispatch') return;
      if (frame.path.endsWith('?held')) held.push([link, frame]);
      else sendAnswer(link, frame, '{}');
    });
    const slow = site.call('/v1/completions?held', { body });
    await Promise.race([kent.next('dispatch'), lynnwood.next('dispatch')]);
    const lines: string[] = [];
    let release = (): void => {};
    const shown = new Promise<void>((resolve) => {
      release = resolve;
    });
    const io = {
      out: (line: string) => {
        lines.push(line);
        if (line.startsWith('in flight')) release();
      },
      err: (line: string) => lines.push(line),
      env: { PLANTAINDRUM_OPERATORS: site.entry.operators, PLANTAINDRUM_TOKEN: TOKEN },
    };
    const stop = runCli(['data-centre', 'stop', 'kent', '--author', 'op'], io);
    await shown;
    expect((await site.operators('GET', '/ready')).status).to.equal(503);
    await callMany(4);
    held.forEach(([link, dispatch]) => sendAnswer(link, dispatch, '{"whole":true}'));
    expect((await slow).text).to.equal('{"whole":true}');
    expect(await stop).to.equal(0);
    expect(lines.at(-1)).to.equal('kent is stopped: nothing is in flight');
    const late = await site.call('/v1/completions', { body });
    expect([late.status, late.headers['x-plantaindrum-reason']]).to.deep.equal([
      503,
      'data-centre-stopping',
    ]);

    const startExitCode = await runCli(['data-centre', 'start', 'kent', '--author', 'op'], io);
    expect(startExitCode).to.equal(0);
    expect((await site.operators('GET', '/ready')).status).to.equal(200);
  });

  it('sends nothing new to another data centre that is stopped', async () => {
    await start(answerAll);
    const value = { state: 'stopped' };
    const changes = [{ key: 'dataCentres/lynnwood', base: -1, value }];
    await site.operators('POST', '/intent', { id: 'stop', author: 'op', changes });
    const before = dispatches(lynnwood).length;
    await callMany(8);
    expect(dispatches(lynnwood).length).to.equal(before);
  });

  it('refuses rather than use a stopped data centre that alone could serve', async () => {
    lynnwood = await startFakeAgent(answerAll);
    site = await startSite([upstreamVm('lynnwood-u1', lynnwood.address, inLynnwood)]);
    open.push(site, lynnwood);
    const changes = [{ key: 'dataCentres/lynnwood', base: -1, value: { state: 'stopped' } }];
    await site.operators('POST', '/intent', { id: 'stop', author: 'op', changes });
    const { status, headers } = await site.call('/v1/completions', { body });
    expect([status, headers['x-plantaindrum-reason']]).to.deep.equal([503, 'no-upstream']);
    expect(dispatches(lynnwood)).to.deep.equal([]);
  });

  /*
   * SIGTERM at an entry: readiness fails first, so that the balancer moves on; what is in flight is
   * answered whole before the doors close.
   */
  it('lets requests end before the entry closes', async () => {
    const held: [Link, Dispatch][] = [];
    await start((frame, link) => {
      if (frame.t === 'dispatch') held.push([link, frame]);
    });
    const slow = site.call('/v1/completions', { body });
    await Promise.race([kent.next('dispatch'), lynnwood.next('dispatch')]);
    const drained = site.drain();
    expect((await site.operators('GET', '/ready')).status).to.equal(503);
    held.forEach(([link, dispatch]) => sendAnswer(link, dispatch, '{"whole":true}'));
    expect((await slow).text).to.equal('{"whole":true}');
    await drained;
  });
});
