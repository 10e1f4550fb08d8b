import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'chai';
import { createMetrics, systemClock } from '@plantaindrum/common';
import { createUpstream } from '../src/core/upstream/upstream.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
const JSON_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';
const EVENTS = 'data: 1\n\ndata: 2\n\n';

/** Calls an upstream that answers with `act`; `exit` ends all its connections and its listener. */
const callUpstream = async (act: (socket: Socket, exit: () => void) => void) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    const exit = (): void => {
      server.close();
      sockets.forEach((open) => open.destroy());
    };
    socket.once('data', () => act(socket, exit));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const upstream = createUpstream({ url, clock: systemClock, metrics: createMetrics() });
  const headers = { connection: 'close' };
  const call = { headers, body: new Uint8Array(), runsAtMostOnce: true, isResumed: false };
  const sink = { sent: () => {}, head: () => {}, data: () => undefined };
  const result = await upstream.call(
    { method: 'GET', path: '/', ...call },
    sink,
    new AbortController().signal,
  );
  upstream.close();
  server.close();
  sockets.forEach((socket) => socket.destroy());
  return result.outcome;
};

describe('the upstream beside an agent', () => {
  it('answers as a whole without length or chunks', async () => {
    expect(await callUpstream((socket) => socket.end(`${HEAD}${EVENTS}`))).to.equal('whole');
  });

  // Guards against a truncated answer that looks complete: undici takes the reset for the end of the answer.
  it('breaks an answer off when it resets the connection with the last bytes', async () => {
    const outcome = await callUpstream((socket) => {
      socket.write(`${HEAD}${EVENTS}`);
      socket.resetAndDestroy();
    });
    expect(outcome).to.equal('broken');
  });

  it('breaks an answer off when it resets the connection later', async () => {
    const outcome = await callUpstream((socket) => {
      socket.write(`${HEAD}${EVENTS}`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    expect(outcome).to.equal('broken');
  });

  // Guards against a truncated answer that looks complete: the kernel closes the connections of a process that exits.
  it('breaks an answer off when its process exits', async () => {
    const outcome = await callUpstream((socket, exit) => {
      socket.end(`${HEAD}${EVENTS}`, exit);
    });
    expect(outcome).to.equal('broken');
  });

  it('breaks an answer off that ends inside an event or inside JSON', async () => {
    const event = await callUpstream((socket) => socket.end(`${HEAD}data: 1\n\ndata`));
    const json = await callUpstream((socket) => socket.end(`${JSON_HEAD}{"a": [`));
    expect([event, json]).to.deep.equal(['broken', 'broken']);
  });
});
