import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { request } from 'undici';
import { sendAnswer, startFakeAgent } from './support/fake-agent.js';
import { startSite, upstreamVm } from './support/site.js';

describe('start of an entry', () => {
  const closeables: { close(): Promise<unknown> }[] = [];

  afterEach(async () => {
    for (const part of closeables.splice(0)) await part.close();
  });

  /** Starts a server that fails the first reads with 503 and then forwards to the given VM list. */
  const startFailingList = async (failures: number) => {
    let left = failures;
    let target = '';
    const server: Server = createServer((_, res) => {
      left -= 1;
      if (left >= 0) {
        res.writeHead(503).end();
        return;
      }
      void request(target).then(async ({ body }) => res.end(await body.text()));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closeables.push({ close: async () => server.close() });
    const { port } = server.address() as AddressInfo;
    return (url: string): string => {
      target = url;
      return `http://127.0.0.1:${port}/vms`;
    };
  };

  // An entry starts while the VM list is down. If it took a failed read for an empty list, it would
  // become ready, attract callers from entries that can serve, and refuse them with "no-upstream".
  it('is not ready before it has read the VM list', async () => {
    const agent = await startFakeAgent((frame, link) => {
      if (frame.t === 'dispatch') sendAnswer(link, frame, '{}');
    });
    const list = await startFailingList(2);
    const site = await startSite([upstreamVm('kent-u1', agent.address)], {}, list);
    closeables.push(site, agent);
    const body = JSON.stringify({ model: 'lot-writer', prompt: 'a car' });
    expect((await site.call('/v1/completions', { body })).status).to.equal(200);
  });
});
