import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** What the forwarder does with the bytes of one direction. */
export type ForwardMode = 'pass' | 'hold' | 'drop';

/** Direction of a forwarded connection, seen from the side that connected. */
export type ForwardDirection = 'to-target' | 'from-target';

/** A TCP forwarder that can reset connections and hold or drop their data. */
export interface Forwarder {
  /** `host:port` to connect to. */
  readonly address: string;
  /** Resets every open connection. */
  cut(): void;
  /** `true` resets new connections at once until it is called with `false`. */
  refuse(refused: boolean): void;
  /** `hold` buffers data until `pass` is set; `drop` discards it, as on a half-open connection. */
  set(direction: ForwardDirection, mode: ForwardMode): void;
  /** Bytes forwarded so far in a direction. */
  passed(direction: ForwardDirection): number;
  close(): Promise<void>;
}

/** Called with the data that is forwarded; `connection` numbers the connections from 1. */
export type ForwardTap = (direction: ForwardDirection, data: Buffer, connection: number) => void;

interface Pipe {
  direction: ForwardDirection;
  connection: number;
  to: Socket;
  held: Buffer[];
}

const parseAddress = (address: string): { host: string; port: number } => {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
};

/**
 * Resets a connection. A socket on which `end` was called is destroyed instead: after a reset Node 20
 * never closes its handle, and the process spins forever when it exits.
 */
const reset = (socket: Socket): void => {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
};

/** Creates a forwarder that listens on a free loopback port and connects to `target` (`host:port`). */
export const createForwarder = async (
  target: string,
  tap: ForwardTap = () => {},
): Promise<Forwarder> => {
  const modes: Record<ForwardDirection, ForwardMode> = {
    'to-target': 'pass',
    'from-target': 'pass',
  };
  const bytes: Record<ForwardDirection, number> = { 'to-target': 0, 'from-target': 0 };
  const sockets = new Set<Socket>();
  const pipes = new Set<Pipe>();
  let refused = false;
  let connections = 0;

  const write = (pipe: Pipe, data: Buffer): void => {
    bytes[pipe.direction] += data.length;
    tap(pipe.direction, data, pipe.connection);
    pipe.to.write(data);
  };

  const forward = (from: Socket, to: Socket, direction: ForwardDirection): void => {
    const pipe: Pipe = { direction, connection: connections, to, held: [] };
    pipes.add(pipe);
    from.on('data', (data: Buffer) => {
      if (modes[direction] === 'pass') write(pipe, data);
      if (modes[direction] === 'hold') pipe.held.push(data);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      pipes.delete(pipe);
      sockets.delete(from);
      to.destroy();
    });
  };

  const server = createServer({ noDelay: true }, (callerSocket) => {
    if (refused) {
      callerSocket.resetAndDestroy();
      return;
    }
    const targetSocket = connect({ ...parseAddress(target), noDelay: true });
    connections += 1;
    sockets.add(callerSocket);
    sockets.add(targetSocket);
    forward(callerSocket, targetSocket, 'to-target');
    forward(targetSocket, callerSocket, 'from-target');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const cut = (): void => sockets.forEach(reset);

  return {
    address: `127.0.0.1:${port}`,
    cut,
    refuse: (value) => {
      refused = value;
    },
    set: (direction, mode) => {
      modes[direction] = mode;
      if (mode !== 'pass') return;
      [...pipes]
        .filter((pipe) => pipe.direction === direction)
        .forEach((pipe) => pipe.held.splice(0).forEach((data) => write(pipe, data)));
    },
    passed: (direction) => bytes[direction],
    close: () => {
      cut();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
};
