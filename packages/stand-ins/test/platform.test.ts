import { createManualClock } from '@plantaindrum/common';
import { expect } from 'chai';
import { createVmListStandIn, createWeightStoreStandIn, weightsOf } from '../src/index.js';
import { call } from './http.js';

describe('VM list stand-in', () => {
  it('shows a change only after the configured delay', async () => {
    const clock = createManualClock();
    const list = await createVmListStandIn({ clock, lagMs: 2000 });
    const vms = [{ targets: ['127.0.0.1:7001'], labels: { vm: 'kent-a1', state: 'live' } }];
    await call(list.url, { method: 'PUT', body: vms });
    await clock.advance(1999);
    const before = (await call(list.url)).json;
    await clock.advance(1);
    expect([before, (await call(list.url)).json]).to.deep.equal([[], vms]);
    await list.close();
  });
});

describe('weight store stand-in', () => {
  const path = '/weights/stand-in/0/7';

  it('serves full weights and byte ranges', async () => {
    const store = await createWeightStoreStandIn({ expertBytes: 1000 });
    const full = await call(store.url + path);
    const tail = await call(store.url + path, { headers: { range: 'bytes=900-' } });
    const beyond = await call(store.url + path, { headers: { range: 'bytes=1000-' } });
    expect([full.status, tail.status, beyond.status]).to.deep.equal([200, 206, 416]);
    expect(tail.headers['content-range']).to.equal('bytes 900-999/1000');
    expect(full.text).to.equal(weightsOf(path, 1000).toString());
    await store.close();
  });

  it('rejects requests over its rate limit with Retry-After, and cuts responses short on request', async () => {
    const clock = createManualClock();
    const store = await createWeightStoreStandIn({ clock, expertBytes: 1000, bytesPerSecond: 500 });
    expect((await call(store.url + path)).status).to.equal(200);
    const rejected = await call(store.url + path);
    expect([rejected.status, rejected.headers['retry-after']]).to.deep.equal([429, '2']);
    await clock.advance(2000);
    store.breakOff(1);
    expect((await call(store.url + path)).status).to.equal(0);
    expect(store.stats()).to.deep.equal({
      requests: 2,
      bytes: 1500,
      rateLimited: 1,
      brokenOff: 1,
    });
    await store.close();
  });
});
