import { connect } from 'node:net';
import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import fc from 'fast-check';
import { createMetrics, silentEventLog } from '@plantaindrum/common';
import { createDoor } from '../src/index.js';
import type { Door } from '../src/index.js';

const PORT = 18_331;
const limits = { headerBytes: 400, bodyBytes: 100, headerTimeoutMs: 300, idleTimeoutMs: 400 };

/** Sends bytes as they are and returns all that comes back. */
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

const statusOf = (answer: string): string => answer.split(' ')[1] ?? 'none';

describe('door', () => {
  let door: Door;
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
    door = await createDoor({ listen, handle, maxConnections: 50, metrics, log: silentEventLog });
    door.limit(limits);
  });

  afterEach(() => door.close());

  // A second request hidden in the body of a first one would reach an upstream in another's name.
  const malformed: [string, string, string][] = [
    [
      'a length beside chunks',
      'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n',
      '400',
    ],
    [
      'two lengths',
      'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
      '400',
    ],
    ['no host', 'GET /a HTTP/1.1\r\n\r\n', '400'],
    ['no request', 'nonsense\r\n\r\n', '400'],
    ['a space before the colon', 'GET /a HTTP/1.1\r\nHost : h\r\n\r\n', '400'],
    [
      'a header over the limit',
      `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(500)}\r\n\r\n`,
      '431',
    ],
  ];
  malformed.forEach(([title, bytes, status]) => {
    it(`answers ${status} to ${title}, and hands nothing on`, async () => {
      expect(statusOf(await send(bytes))).to.equal(status);
      expect(handled).to.deep.equal([]);
    });
  });

  it('answers 408 to a header that does not end', async () => {
    expect(statusOf(await send('GET /a HTTP/1.1\r\nHost: h\r\n', 1_500))).to.equal('408');
    expect(handled).to.deep.equal([]);
  });

  it('hands on a sound request', async () => {
    expect(statusOf(await send('GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n'))).to.equal('200');
    expect(handled).to.deep.equal(['/a?b']);
  });

  // Whatever bytes come, the door answers with a 4xx or closes, and goes on serving others.
  it('survives any bytes', async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 80 }), async (bytes) => {
        const answer = await send(Buffer.concat([Buffer.from(bytes), Buffer.from('\r\n\r\n')]), 20);
        expect(['none', '400', '408', '431', '505']).to.include(statusOf(answer));
      }),
      { seed: 3, numRuns: 60 },
    );
    expect(statusOf(await send('GET /after HTTP/1.1\r\nHost: h\r\n\r\n'))).to.equal('200');
  });

  // An entry has stopped listening and ends with its grace. A caller's connection outlived its
  // stream, and the next request on it would be cut in the middle.
  it('ends connections as their answers end, once it has stopped listening', async () => {
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
    door.stopListening();
    expect(await closed).to.equal(true);
  });
});
