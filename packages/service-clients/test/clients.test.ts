import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'chai';
import {
  createEngineOrderClient,
  createHttpClient,
  createLogClient,
  createVmListClient,
  createWeightStoreClient,
} from '../src/index.js';

describe('platform clients', () => {
  let server: Server;
  let requests: IncomingMessage[] = [];

  const startServer = async (handler: RequestListener): Promise<string> => {
    requests = [];
    server = createServer((req, res) => {
      requests.push(req);
      req.resume();
      req.on('end', () => handler(req, res));
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

  const respondJson = (status: number, body: unknown, headers = {}): RequestListener => {
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

  it('appends records and identifies itself with x-client', async () => {
    const url = await startServer(respondJson(200, { offsets: [{ offset: 7 }, { offset: 8 }] }));
    expect(await appendTo(url)).to.deep.equal({ ok: true, value: [7, 8] });
    expect(requests[0]?.url).to.equal('/topics/plantaindrum.intent/partitions/0');
    expect(requests[0]?.headers['x-client']).to.equal('test');
  });

  // Connections can go silent without being reset. If only the one that a call timed out on were closed, each further
  // call would wait for its timeout on another of them.
  it('uses new connections after a call has timed out', async () => {
    const silent = new Set<Socket>();
    const url = await startServer((req, res) => {
      if (!silent.has(req.socket)) res.writeHead(200).end();
    });
    const client = createHttpClient({ client: 'test', connections: 4 });
    const get = (timeoutMs: number) => client.send({ method: 'GET', url, timeoutMs });
    await Promise.all(Array.from({ length: 4 }, () => get(1_000)));
    requests.forEach(({ socket }) => silent.add(socket));
    expect(await get(100)).to.have.nested.property('err.kind', 'unknown');
    expect(await get(1_000)).to.have.nested.property('value.status', 200);
    await client.close();
  });

  // The service stores the record, then the connection breaks before the response. An internal retry would
  // append the record twice, so the client sends exactly one request and reports `unknown`.
  it('reports a lost response as unknown and does not retry the append', async () => {
    const url = await startServer((_req, res) => res.socket?.destroy());
    expect(await appendTo(url)).to.deep.include({ ok: false });
    expect(await appendTo(url)).to.have.nested.property('err.kind', 'unknown');
    expect(requests).to.have.length(2);
  });

  it('reports refused appends as failures without effect', async () => {
    const results = [];
    const throttled = await startServer(respondJson(429, {}, { 'retry-after': '3' }));
    results.push(await appendTo(throttled));
    server.close();
    const down = await startServer(respondJson(503, {}));
    results.push(await appendTo(down));
    server.close();
    server.closeAllConnections();
    results.push(await appendTo(down));
    expect(results).to.deep.equal([
      { ok: false, err: { kind: 'throttled', retryAfterMs: 3000 } },
      { ok: false, err: { kind: 'unavailable', retryAfterMs: 500 } },
      { ok: false, err: { kind: 'unavailable', retryAfterMs: 500 } },
    ]);
  });

  it('reports an offset below the retained records as out of range', async () => {
    const url = await startServer(respondJson(404, { error_code: 40401 }));
    const log = createLogClient({ url, client: 'test' });
    const result = await log.read('plantaindrum.intent', 0, 3, 10);
    await log.close();
    expect(result).to.have.nested.property('err.kind', 'out-of-range');
  });

  it('parses the VM list', async () => {
    const labels = { vm: 'kent-m1', role: 'upstream', data_centre: 'kent', region: 'northwest' };
    const rank = { ...labels, state: 'leaving', kind: 'model', group: 'g1', ranks: '0,1' };
    const url = await startServer(
      respondJson(200, [{ targets: ['127.0.0.1:7001'], labels: rank }]),
    );
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

  it('downloads the VM list again only after it has changed', async () => {
    let version = 1;
    const etags: (string | undefined)[] = [];
    const url = await startServer((req, res) => {
      etags.push(req.headers['if-none-match']);
      const etag = `"${version}"`;
      if (req.headers['if-none-match'] === etag) res.writeHead(304, { etag }).end();
      else res.writeHead(200, { etag }).end(JSON.stringify([{ targets: [`10.0.0.${version}:1`] }]));
    });
    const vms = createVmListClient({ url, client: 'test' });
    const lists = [await vms.list(), await vms.list()].map((read) => (read.ok ? read.value : []));
    version = 2;
    const changed = await vms.list();
    await vms.close();
    expect(etags).to.deep.equal([undefined, '"1"', '"1"']);
    expect(lists[1]).to.equal(lists[0]);
    expect(changed.ok && changed.value[0]?.address).to.equal('10.0.0.2:1');
  });

  it('reads weights by range', async () => {
    const url = await startServer((_req, res) => {
      res.writeHead(206, { 'content-range': 'bytes 2-4/9' }).end('cde');
    });
    const weights = createWeightStoreClient({ url, client: 'test' });
    const result = await weights.read({ model: 'm', layer: 0, expert: 5 }, 2, 3);
    await weights.close();
    expect(requests[0]?.headers.range).to.equal('bytes=2-4');
    expect(result).to.deep.equal({
      ok: true,
      value: { from: 2, data: Buffer.from('cde'), size: 9 },
    });
  });

  it('reports an order refused for an old fencing token with its reason', async () => {
    const url = await startServer(respondJson(409, { refused: 'old-fence' }));
    const engine = createEngineOrderClient({ url, client: 'test' });
    const result = await engine.order('switch_map', { fence: 3, version: 1 });
    await engine.close();
    expect(result).to.deep.equal({ ok: true, value: { outcome: 'refused', reason: 'old-fence' } });
  });
});
