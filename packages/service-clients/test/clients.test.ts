import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import {
  createEngineOrderClient,
  createLogClient,
  createVmListClient,
  createWeightStoreClient,
} from '../src/index.js';

describe('platform clients', () => {
  let server: Server;
  let seen: IncomingMessage[] = [];

  const listen = async (answer: RequestListener): Promise<string> => {
    seen = [];
    server = createServer((req, res) => {
      seen.push(req);
      req.resume();
      req.on('end', () => answer(req, res));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  };

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  const json = (status: number, body: unknown, headers = {}): RequestListener => {
    const text = JSON.stringify(body);
    return (_req, res) => {
      res.writeHead(status, { 'content-type': 'application/json', ...headers }).end(text);
    };
  };

  const appendTo = async (url: string) => {
    const log = createLogClient({ url, client: 'test' });
    const result = await log.append('plantaindrum.intent', 0, [{ a: 1 }, { a: 2 }]);
    await log.close();
    return result;
  };

  it('appends records and says who it is', async () => {
    const url = await listen(json(200, { offsets: [{ offset: 7 }, { offset: 8 }] }));
    expect(await appendTo(url)).to.deep.equal({ ok: true, value: [7, 8] });
    expect(seen[0]?.url).to.equal('/topics/plantaindrum.intent/partitions/0');
    expect(seen[0]?.headers['x-client']).to.equal('test');
  });

  // The caller cannot tell whether its append landed. The service takes the record, then the
  // connection breaks before the answer. A hidden second append would stand in the log twice, so
  // the client reports `unknown` after exactly one request.
  it('reports a lost answer as unknown and does not append again', async () => {
    const url = await listen((_req, res) => res.socket?.destroy());
    expect(await appendTo(url)).to.deep.include({ ok: false });
    expect(await appendTo(url)).to.have.nested.property('err.kind', 'unknown');
    expect(seen).to.have.length(2);
  });

  it('reports refusals without effect apart from lost answers', async () => {
    const kinds = [];
    const throttled = await listen(json(429, {}, { 'retry-after': '3' }));
    kinds.push(await appendTo(throttled));
    server.close();
    const down = await listen(json(503, {}));
    kinds.push(await appendTo(down));
    server.close();
    server.closeAllConnections();
    kinds.push(await appendTo(down));
    expect(kinds).to.deep.equal([
      { ok: false, err: { kind: 'throttled', retryAfterMs: 3000 } },
      { ok: false, err: { kind: 'unavailable', retryAfterMs: 500 } },
      { ok: false, err: { kind: 'unavailable', retryAfterMs: 500 } },
    ]);
  });

  it('reports an offset that retention removed', async () => {
    const url = await listen(json(404, { error_code: 40401 }));
    const log = createLogClient({ url, client: 'test' });
    const result = await log.read('plantaindrum.intent', 0, 3, 10);
    await log.close();
    expect(result).to.have.nested.property('err.kind', 'out-of-range');
  });

  it('parses the VM list', async () => {
    const labels = { vm: 'kent-m1', role: 'upstream', data_centre: 'kent', region: 'northwest' };
    const rank = { ...labels, state: 'leaving', kind: 'model', group: 'g1', ranks: '0,1' };
    const url = await listen(json(200, [{ targets: ['127.0.0.1:7001'], labels: rank }]));
    const vms = createVmListClient({ url, client: 'test' });
    const result = await vms.list();
    await vms.close();
    expect(result).to.deep.equal({
      ok: true,
      value: [
        {
          name: 'kent-m1',
          address: '127.0.0.1:7001',
          role: 'upstream',
          dataCentre: 'kent',
          region: 'northwest',
          state: 'leaving',
          kind: 'model',
          group: 'g1',
          ranks: [0, 1],
        },
      ],
    });
  });

  it('reads the VM list anew only when it has changed', async () => {
    let version = 1;
    const asked: (string | undefined)[] = [];
    const url = await listen((req, res) => {
      asked.push(req.headers['if-none-match']);
      const etag = `"${version}"`;
      if (req.headers['if-none-match'] === etag) res.writeHead(304, { etag }).end();
      else res.writeHead(200, { etag }).end(JSON.stringify([{ targets: [`10.0.0.${version}:1`] }]));
    });
    const vms = createVmListClient({ url, client: 'test' });
    const lists = [await vms.list(), await vms.list()].map((read) => (read.ok ? read.value : []));
    version = 2;
    const changed = await vms.list();
    await vms.close();
    expect(asked).to.deep.equal([undefined, '"1"', '"1"']);
    expect(lists[1]).to.equal(lists[0]);
    expect(changed.ok && changed.value[0]?.address).to.equal('10.0.0.2:1');
  });

  it('reads weights by ranges', async () => {
    const url = await listen((_req, res) => {
      res.writeHead(206, { 'content-range': 'bytes 2-4/9' }).end('cde');
    });
    const weights = createWeightStoreClient({ url, client: 'test' });
    const result = await weights.read({ model: 'm', layer: 0, expert: 5 }, 2, 3);
    await weights.close();
    expect(seen[0]?.headers.range).to.equal('bytes=2-4');
    expect(result).to.deep.equal({
      ok: true,
      value: { from: 2, data: Buffer.from('cde'), size: 9 },
    });
  });

  it('tells an engine that refuses an old fencing number from one that obeys', async () => {
    const url = await listen(json(409, { refused: 'old-fence' }));
    const engine = createEngineOrderClient({ url, client: 'test' });
    const result = await engine.order('switch_map', { fence: 3, version: 1 });
    await engine.close();
    expect(result).to.deep.equal({ ok: true, value: { outcome: 'refused', reason: 'old-fence' } });
  });
});
