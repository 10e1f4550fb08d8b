import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Root of the repository; `src` and `dist` lie equally deep below it. */
export const repositoryRoot = fileURLToPath(new URL('../../../../', import.meta.url));

/** How a child process ended. */
export interface ChildExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** A process that printed its ready line. */
export interface Child<Ready> {
  readonly name: string;
  readonly pid: number;
  /** The parsed ready line. */
  readonly ready: Ready;
  readonly exited: Promise<ChildExit>;
  running(): boolean;
  /** The last lines that the process wrote on standard error. */
  log(): string;
  signal(signal: NodeJS.Signals): void;
  /** Sends SIGTERM, and SIGKILL when the process has not ended after `graceMs`. */
  stop(graceMs?: number): Promise<ChildExit>;
  kill(): Promise<ChildExit>;
}

/** A process to start with this Node.js. */
export interface ChildSpec {
  name: string;
  /** Script, relative to the root of the repository. */
  script: string;
  args: string[];
  /** Arguments of the runtime itself. */
  nodeArgs?: string[];
  /** Variables beside those of this process. */
  env?: Record<string, string>;
  /** Longest wait for the ready line, in milliseconds. */
  readyWithinMs?: number;
}

const READY_WITHIN_MS = 20_000;
const STOP_GRACE_MS = 5_000;
const KEPT_LOG_CHARACTERS = 16_384;

const started = new Set<ChildProcess>();

/** A test run that ends early must leave no process behind: end each one by its own id. */
process.on('exit', () => {
  started.forEach((child) => child.kill('SIGKILL'));
});

const firstLine = (child: ChildProcess, onLine: (line: string) => void): void => {
  let text = '';
  const read = (data: Buffer): void => {
    text += data.toString('utf8');
    const end = text.indexOf('\n');
    if (end < 0) return;
    child.stdout?.off('data', read);
    child.stdout?.resume();
    onLine(text.slice(0, end));
  };
  child.stdout?.on('data', read);
};

const exitOf = (child: ChildProcess): Promise<ChildExit> =>
  new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      started.delete(child);
      resolve({ code, signal });
    });
  });

const readyLine = (child: ChildProcess, spec: ChildSpec, log: () => string): Promise<string> =>
  new Promise((resolve, reject) => {
    const fault = (what: string): void => reject(new Error(`${spec.name} ${what}\n${log()}`));
    const withinMs = spec.readyWithinMs ?? READY_WITHIN_MS;
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      fault(`printed no ready line within ${withinMs} ms`);
    }, withinMs);
    child.once('exit', (code, signal) => {
      clearTimeout(timer);
      fault(`ended before it was ready (${code ?? signal})`);
    });
    firstLine(child, (line) => {
      clearTimeout(timer);
      resolve(line);
    });
  });

/** Starts a process and waits for its ready line, one JSON object on standard output. */
export const startChild = async <Ready>(spec: ChildSpec): Promise<Child<Ready>> => {
  const child = spawn(process.execPath, [...(spec.nodeArgs ?? []), spec.script, ...spec.args], {
    cwd: repositoryRoot,
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, NODE_OPTIONS: '', ...spec.env },
  });
  started.add(child);
  const exited = exitOf(child);
  let stderr = '';
  child.stderr.on('data', (data: Buffer) => {
    stderr = (stderr + data.toString('utf8')).slice(-KEPT_LOG_CHARACTERS);
  });
  const log = (): string => stderr;
  const line = await readyLine(child, spec, log);

  const running = (): boolean => started.has(child);
  const kill = (): Promise<ChildExit> => {
    if (running()) child.kill('SIGKILL');
    return exited;
  };
  const stop = async (graceMs = STOP_GRACE_MS): Promise<ChildExit> => {
    if (running()) child.kill('SIGTERM');
    const timer = setTimeout(() => {
      void kill();
    }, graceMs);
    const exit = await exited;
    clearTimeout(timer);
    return exit;
  };

  return {
    name: spec.name,
    pid: child.pid ?? -1,
    ready: JSON.parse(line) as Ready,
    exited,
    running,
    log,
    signal: (signal) => {
      child.kill(signal);
    },
    stop,
    kill,
  };
};
