import { connect } from 'node:net';
import { Agent, request } from 'node:http';
import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import fc from 'fast-check';
import { createMetrics, silentEventLog } from '@plantaindrum/common';
import { createCallerServer } from '../src/index.js';
import type { CallerServer } from '../src/index.js';

const PORT = 18_331;
const MAX_CONNECTIONS = 50;
const limits = { headerBytes: 400, bodyBytes: 100, headerTimeoutMs: 300, idleTimeoutMs: 400 };

/** Sends raw bytes and returns everything that is received. */
const send = (bytes: string | Buffer, waitMs = 60): Promise<string> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = connect(PORT, '127.0.0.1', () => socket.write(bytes));
    const done = (): void => {
      socket.destroy();
      resolve(Buffer.concat(chunks).toString());
    };
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', done);
    socket.on('end', done);
    setTimeout(done, waitMs);
  });

/** Sends a request on a connection that is kept open; 0 without a response. */
const requestWith = (agent: Agent): Promise<number> =>
  new Promise((resolve) => {
    const req = request({ host: '127.0.0.1', port: PORT, path: '/a', agent }, (res) => {
      res.resume();
      res.on('end', () => resolve(res.statusCode ?? 0));
    });
    req.on('error', () => resolve(0));
    req.end();
  });

const statusOf = (response: string): string => response.split(' ')[1] ?? 'none';

describe('caller server', () => {
  let server: CallerServer;
  let handled: string[];

  beforeEach(async () => {
    handled = [];
    const handle = (req: { url?: string | undefined }, res: ServerResponse): void => {
      handled.push(req.url ?? '');
      if (req.url === '/slow') setTimeout(() => res.end('ok'), 150);
      else res.end('ok');
    };
    const listen = { host: '127.0.0.1', port: PORT };
    const metrics = createMetrics();
    server = await createCallerServer({
      listen,
      handle,
      maxConnections: MAX_CONNECTIONS,
      metrics,
      log: silentEventLog,
    });
    server.setLimits(limits);
  });

  afterEach(() => server.close());

  // Guards against request smuggling: a second request hidden in the body of the first one would reach an upstream
  // on behalf of another caller.
  const malformed: [string, string, string][] = [
    [
      'a Content-Length with chunked encoding',
      'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n',
      '400',
    ],
    [
      'two Content-Length fields',
      'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
      '400',
    ],
    ['a missing Host field', 'GET /a HTTP/1.1\r\n\r\n', '400'],
    ['bytes that are not a request', 'nonsense\r\n\r\n', '400'],
    ['a space before the colon', 'GET /a HTTP/1.1\r\nHost : h\r\n\r\n', '400'],
    [
      'a header over the limit',
      `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(500)}\r\n\r\n`,
      '431',
    ],
  ];
  malformed.forEach(([title, bytes, status]) => {
    it(`responds with ${status} to ${title}, and does not call the handler`, async () => {
      expect(statusOf(await send(bytes))).to.equal(status);
      expect(handled).to.deep.equal([]);
    });
  });

  it('responds with 408 to an incomplete header', async () => {
    expect(statusOf(await send('GET /a HTTP/1.1\r\nHost: h\r\n', 1_500))).to.equal('408');
    expect(handled).to.deep.equal([]);
  });

  it('calls the handler for a valid request', async () => {
    expect(statusOf(await send('GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n'))).to.equal('200');
    expect(handled).to.deep.equal(['/a?b']);
  });

  // For arbitrary bytes the server responds with an error status or closes the connection, and keeps serving others.
  it('keeps serving after arbitrary bytes', async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 80 }), async (bytes) => {
        const response = await send(
          Buffer.concat([Buffer.from(bytes), Buffer.from('\r\n\r\n')]),
          20,
        );
        expect(['none', '400', '408', '431', '505']).to.include(statusOf(response));
      }),
      { seed: 3, numRuns: 60 },
    );
    expect(statusOf(await send('GET /after HTTP/1.1\r\nHost: h\r\n\r\n'))).to.equal('200');
  });

  // Most new connections of a zone come to one entry, and callers keep them open. Once these were as many as the entry
  // may hold, each further caller would find its connection closed.
  it('serves new callers while earlier ones keep more connections open than it may hold', async () => {
    const agents: Agent[] = [];
    const statuses: number[] = [];
    for (let n = 0; n < 2 * MAX_CONNECTIONS; n += 1) {
      const agent = new Agent({ keepAlive: true });
      agents.push(agent);
      statuses.push(await requestWith(agent));
    }
    agents.forEach((agent) => agent.destroy());
    expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
  });

  // An entry that has stopped listening exits at the end of its grace period. If a connection stayed open after its
  // stream, the next request on it would be cut off.
  it('closes connections after their response once it has stopped listening', async () => {
    const closed = new Promise<boolean>((resolve) => {
      const socket = connect(PORT, '127.0.0.1', () => {
        socket.write('GET /slow HTTP/1.1\r\nHost: h\r\n\r\n');
      });
      socket.on('data', () => {});
      socket.on('end', () => resolve(true));
      setTimeout(() => {
        socket.destroy();
        resolve(false);
      }, 350);
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    server.stopListening();
    expect(await closed).to.equal(true);
  });
});
