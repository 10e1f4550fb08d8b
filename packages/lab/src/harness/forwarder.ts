import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** What the forwarder does to the bytes that pass in one direction. */
export type ForwardMode = 'pass' | 'hold' | 'drop';

/** Directions of a forwarded connection, seen from the side that connected. */
export type ForwardDirection = 'to-target' | 'from-target';

/** A TCP forwarder that can cut, hold or swallow what passes through it. */
export interface Forwarder {
  /** `host:port` to connect to. */
  readonly address: string;
  /** Resets every connection that is open. */
  cut(): void;
  /** While refused, new connections are reset at once. */
  refuse(refused: boolean): void;
  /** `hold` keeps bytes until `pass` is set again; `drop` loses them (a half-open connection). */
  set(direction: ForwardDirection, mode: ForwardMode): void;
  /** Bytes passed so far in a direction. */
  passed(direction: ForwardDirection): number;
  close(): Promise<void>;
}

/** Sees the bytes that pass; `connection` counts the connections from 1. */
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
 * Resets a connection. A socket whose end is under way can't be reset: Node 20 then never closes its
 * handle, and the process spins for ever when it exits.
 */
const reset = (socket: Socket): void => {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
};

/** Creates a forwarder on a free loopback port to `target` (`host:port`). */
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

  const server = createServer({ noDelay: true }, (near) => {
    if (refused) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ ...parseAddress(target), noDelay: true });
    connections += 1;
    sockets.add(near);
    sockets.add(far);
    forward(near, far, 'to-target');
    forward(far, near, 'from-target');
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
