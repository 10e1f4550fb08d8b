import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { expect } from 'chai';
import { createForwarder } from '../src/harness/forwarder.js';
import type { Forwarder } from '../src/harness/forwarder.js';

describe('the forwarder', () => {
  let server: Server;
  let forwarder: Forwarder;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.pipe(socket);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    forwarder = await createForwarder(`127.0.0.1:${port}`);
  });

  afterEach(async () => {
    await forwarder.close();
    server.close();
  });

  const connectToForwarder = () => connect(Number(forwarder.address.split(':')[1]), '127.0.0.1');
  const openConnection = async () => {
    const socket = connectToForwarder();
    await once(socket, 'connect');
    return socket;
  };

  it('forwards data, holds it, and forwards what it held', async () => {
    const socket = await openConnection();
    socket.write('a');
    expect(String(await once(socket, 'data'))).to.equal('a');
    forwarder.set('from-target', 'hold');
    socket.write('b');
    expect(forwarder.passed('from-target')).to.equal(1);
    forwarder.set('from-target', 'pass');
    expect(String(await once(socket, 'data'))).to.equal('b');
    socket.destroy();
  });

  it('resets open connections and refuses new ones', async () => {
    const socket = await openConnection();
    socket.write('a');
    await once(socket, 'data');
    forwarder.refuse(true);
    forwarder.cut();
    const [err] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
    expect(err.code).to.equal('ECONNRESET');
    await once(connectToForwarder(), 'error');
  });
});
