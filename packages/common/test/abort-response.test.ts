import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { expect } from 'chai';
import { abortResponse } from '../src/index.js';

/** Sends a request to a server that aborts its response, and tells how the connection ends. */
const endOfAborted = async (httpVersion: string): Promise<{ text: string; end: string }> => {
  const handle = (_req: IncomingMessage, res: ServerResponse): void => {
    res.write('part', () => setTimeout(() => abortResponse(res), 10));
  };
  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.write(`GET / HTTP/${httpVersion}\r\nHost: h\r\n\r\n`);
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  const end = await new Promise<string>((resolve) => {
    socket.once('error', (err: NodeJS.ErrnoException) => resolve(String(err.code)));
    socket.once('end', () => resolve('end'));
  });
  server.close();
  return { text, end };
};

describe('aborting a response', () => {
  // Guards against a truncated response that looks complete to a caller that doesn't know chunks.
  it('resets the connection when the end of the response would be its end', async () => {
    const { text, end } = await endOfAborted('1.0');
    expect(text).to.include('part');
    expect(end).to.equal('ECONNRESET');
  });

  it('leaves the last chunk out when the response has chunks', async () => {
    const { text, end } = await endOfAborted('1.1');
    expect(end).to.equal('end');
    expect(text).to.match(/4\r\npart\r\n$/);
  });
});
