import { expect } from 'chai';
import type { ServiceStandIn } from '../src/index.js';
import { createServiceStandIn } from '../src/index.js';
import { call } from './http.js';

describe('service stand-in', () => {
  let service: ServiceStandIn;

  beforeEach(async () => {
    service = await createServiceStandIn();
  });

  afterEach(() => service.close());

  const run = (key: string) =>
    call(`${service.url}/export`, { body: { lot: 7 }, headers: { 'idempotency-key': key } });

  const counts = async () => (await call(`${service.control}/counts`)).json;

  it('counts each run by key and path', async () => {
    const response = await run('a');
    await run('a');
    await run('b');
    expect({ answer: response.json, counts: await counts() }).toMatchSnapshot();
  });

  it('resets the connection before the call runs, after it, or halfway through the response', async () => {
    service.setFaults({ resetBefore: 1 });
    expect((await run('before')).status).to.equal(0);
    service.setFaults({ resetAfter: 1 });
    expect((await run('after')).status).to.equal(0);
    service.setFaults({ breakOff: 1 });
    expect((await run('broken')).status).to.equal(0);
    expect((await counts()).byKey).to.deep.equal({ after: 1, broken: 1 });
  });

  it('holds calls back before they run until the hold fault is cleared', async () => {
    await call(`${service.control}/faults`, { body: { hold: true } });
    const held = run('held');
    await service.waitFor(({ inFlight }) => inFlight === 1);
    expect((await counts()).total).to.equal(0);
    service.setFaults({ hold: false });
    expect((await held).status).to.equal(200);
  });

  it('responds with 503 without running the call during an outage', async () => {
    service.setFaults({ outage: true });
    expect((await run('out')).status).to.equal(503);
    expect((await counts()).total).to.equal(0);
  });
});
