/** Upstreams as processes, in pairs: of each pair one lives on when the other is killed. */

import { EventEmitter, once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { ENDING_SERVER_VARIABLE, LISTEN_SIGNAL } from '@plantaindrum/stand-ins';
import type { EndingServerLine, EndingServerSettings } from '@plantaindrum/stand-ins';
import { startChild } from '../../harness/child.js';
import type { Child } from '../../harness/child.js';

/** A process that listens at an upstream's address, or waits to. */
interface UpstreamProcess {
  instance: string;
  child: Child<unknown>;
  lines: EventEmitter;
  listening: Promise<unknown>;
}

/** An upstream at a fixed address, with a second process that takes its place. */
export interface TestUpstream {
  readonly host: string;
  readonly port: number;
  instance(): string;
  /** Lets the waiting process listen as soon as the address is free. */
  prepareSuccessor(): void;
  /** Resolves when it listens and its successor waits. */
  settled(): Promise<void>;
  close(): Promise<void>;
}

/** Options of `startUpstream`. */
export interface UpstreamOptions {
  host: string;
  port: number;
  name: string;
  runsFolder: string;
  /** Called when another process has taken the address, and for the first one. */
  onListening: (upstream: TestUpstream) => void;
  onConnected: () => void;
  onBegun: (upstream: TestUpstream, id: string) => void;
  /** Called with the time at which the last byte of an answer was written (Unix time, ms). */
  onEnded: (id: string, at: number) => void;
}

const SETTLE_POLL_MS = 5;
const SCRIPT = 'packages/stand-ins/dist/ending-server/main.js';

/** Starts an upstream; resolves when it listens and its successor waits. */
export const startUpstream = async (options: UpstreamOptions): Promise<TestUpstream> => {
  const { host, port, name, runsFolder } = options;
  let starts = 0;
  let isClosed = false;
  let current: UpstreamProcess | undefined;
  let waiting: Promise<UpstreamProcess> | undefined;

  const spawn = async (): Promise<UpstreamProcess> => {
    starts += 1;
    const instance = `${name}-${starts}`;
    const settings: EndingServerSettings = { host, port, instance, runsFolder };
    const lines = new EventEmitter();
    const onLine = (text: string): void => {
      const line = JSON.parse(text) as EndingServerLine;
      lines.emit(line.event, line);
    };
    const env = { [ENDING_SERVER_VARIABLE]: JSON.stringify(settings) };
    const listening = once(lines, 'listening');
    const child = await startChild({ name: instance, script: SCRIPT, args: [], env, onLine });
    return { instance, child, lines, listening };
  };

  const upstream: TestUpstream = {
    host,
    port,
    instance: () => current?.instance ?? '',
    prepareSuccessor: () => {
      void waiting?.then(({ child }) => child.signal(LISTEN_SIGNAL));
    },
    settled: async () => {
      while (!current?.child.running()) await delay(SETTLE_POLL_MS);
      await waiting;
    },
    close: async () => {
      isClosed = true;
      const successor = await waiting;
      await Promise.all([current, successor].map((process) => process?.child.kill()));
    },
  };

  /** Follows a process that is to listen until it ends, then its successor. */
  const follow = async (process: UpstreamProcess): Promise<void> => {
    process.lines.on('connected', options.onConnected);
    process.lines.on('begun', ({ id }: { id: string }) => options.onBegun(upstream, id));
    process.lines.on('ended', ({ id, at }: { id: string; at: number }) => options.onEnded(id, at));
    process.child.signal(LISTEN_SIGNAL);
    await process.listening;
    current = process;
    waiting = spawn();
    options.onListening(upstream);
    void process.child.exited.then(async () => {
      const successor = await waiting;
      if (!isClosed && successor) await follow(successor);
    });
    await waiting;
  };

  await follow(await spawn());
  return upstream;
};
