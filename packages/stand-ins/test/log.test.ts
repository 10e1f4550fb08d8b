import { createManualClock } from '@plantaindrum/common';
import { expect } from 'chai';
import type { LogStandIn, LogStandInOptions } from '../src/index.js';
import { createLogStandIn } from '../src/index.js';
import { advanceUntil, call } from './http.js';

const PARTITION = '/topics/plantaindrum.intent/partitions/0';

describe('log stand-in', () => {
  let log: LogStandIn | undefined;

  afterEach(() => log?.close());

  const start = async (options: LogStandInOptions = {}) => {
    log = await createLogStandIn(options);
    const base = log.url + PARTITION;
    return {
      log,
      append: (value: unknown, headers = {}) =>
        call(base, { body: { records: [{ value }] }, headers }),
      read: (query: string, headers = {}) => call(`${base}/records?${query}`, { headers }),
      offsets: () => call(`${base}/offsets`),
    };
  };

  it('assigns consecutive offsets and returns records in the published format', async () => {
    const { append, read, offsets } = await start();
    await append({ a: 1 });
    const second = await append({ b: 2 });
    expect({
      second: second.json,
      records: (await read('offset=0')).json,
      bounded: (await read('offset=0&max_bytes=1')).json,
      offsets: (await offsets()).json,
      beyond: (await read('offset=3')).json,
    }).toMatchSnapshot();
  });

  it('answers a long poll when a record arrives, and with an empty list after its timeout', async () => {
    const clock = createManualClock();
    const { log: standIn, append, read } = await start({ clock });
    const polled = read('offset=0&timeout=60000');
    await standIn.waitFor(({ polling }) => polling === 1);
    await append('x');
    expect((await polled).json).to.have.length(1);
    const idle = read('offset=1&timeout=50');
    await standIn.waitFor(({ polling }) => polling === 1);
    await clock.advance(50);
    expect((await idle).json).to.deep.equal([]);
  });

  it('rejects appends over the rate limit with Retry-After and does not store them', async () => {
    const clock = createManualClock();
    const { append, offsets } = await start({ clock, appendsPerSecond: 2 });
    await append(1);
    await append(2);
    const rejected = await append(3);
    expect([rejected.status, rejected.headers['retry-after']]).to.deep.equal([429, '1']);
    expect((await offsets()).json.end_offset).to.equal(2);
    await clock.advance(1000);
    expect((await append(3)).status).to.equal(200);
  });

  it('deletes records by count and by age', async () => {
    const clock = createManualClock();
    const { append, read, offsets } = await start({ clock, retention: { records: 2, ms: 1000 } });
    for (const value of [1, 2, 3]) await append(value);
    expect((await offsets()).json).to.deep.equal({ beginning_offset: 1, end_offset: 3 });
    expect((await read('offset=0')).json.error_code).to.equal(40_402);
    await clock.advance(1000);
    expect((await offsets()).json).to.deep.equal({ beginning_offset: 3, end_offset: 3 });
  });

  // The log is down for longer than its retention, so the offset of a reader has expired when it
  // returns. The reader must get an error instead of an empty result, which would hide lost records.
  it('reports an expired offset to a reader after an outage longer than the retention', async () => {
    const clock = createManualClock();
    const { log: standIn, append, read, offsets } = await start({ clock, retention: { ms: 1000 } });
    await append(1);
    standIn.setFaults({ outage: 'read' });
    await append(2);
    await clock.advance(2000);
    expect((await read('offset=1')).status).to.equal(503);
    standIn.setFaults({ outage: 'none' });
    expect((await read('offset=1')).status).to.equal(404);
    expect((await offsets()).json).to.deep.equal({ beginning_offset: 2, end_offset: 2 });
    expect((await append(3)).json.offsets[0].offset).to.equal(2);
  });

  it('resets the connection of the next appends after they took effect', async () => {
    const { log: standIn, append } = await start();
    standIn.setFaults({ loseAnswers: 1 });
    expect((await append('lost')).status).to.equal(0);
    expect((await append('kept')).json.offsets[0].offset).to.equal(1);
  });

  it('fails appends, reads or both during an outage, which also ends long polls', async () => {
    const { log: standIn, append, read } = await start();
    const polled = read('offset=0&timeout=60000');
    await standIn.waitFor(({ polling }) => polling === 1);
    const statuses: Record<string, number[]> = {};
    for (const outage of ['append', 'read', 'all'] as const) {
      await call(`${standIn.url}/faults`, { body: { outage } });
      statuses[outage] = [(await append(1)).status, (await read('offset=0')).status];
    }
    expect(statuses).to.deep.equal({ append: [503, 200], read: [200, 503], all: [503, 503] });
    expect((await polled).status).to.equal(200);
  });

  it('resets or ignores requests of the listed clients only', async () => {
    const { log: standIn, append, offsets } = await start();
    standIn.setFaults({ cutClients: ['kent-e1'], silentClients: ['kent-e2'] });
    expect((await append(1, { 'x-client': 'kent-e1' })).status).to.equal(0);
    const silent = append(1, { 'x-client': 'kent-e2' });
    expect((await append(1, { 'x-client': 'kent-e3' })).status).to.equal(200);
    standIn.setFaults({ silentClients: [] });
    expect((await silent).status).to.equal(0);
    expect((await offsets()).json.end_offset).to.equal(1);
  });

  it('delays responses by the configured time on its clock', async () => {
    const clock = createManualClock();
    const { log: standIn, append } = await start({ clock });
    standIn.setFaults({ delayMs: 500 });
    const slow = append(1);
    await advanceUntil(clock, 100, slow);
    expect((await slow).status).to.equal(200);
    expect(clock.now()).to.be.at.least(500);
  });
});
