import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Root of the repository: the same relative path from `src` and from `dist`. */
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
  /** Most recent output of the process on standard error. */
  log(): string;
  signal(signal: NodeJS.Signals): void;
  /** Sends SIGTERM, then SIGKILL if the process hasn't exited after `graceMs`. */
  stop(graceMs?: number): Promise<ChildExit>;
  kill(): Promise<ChildExit>;
}

/** A process to start with the Node.js version that runs this one. */
export interface ChildSpec {
  name: string;
  /** Script, relative to the root of the repository. */
  script: string;
  args: string[];
  /** Arguments for Node.js itself. */
  nodeArgs?: string[];
  /** Environment variables added to those of this process. */
  env?: Record<string, string>;
  /** Called with each line that the process prints after its ready line. */
  onLine?: (line: string) => void;
  /** Timeout for the ready line. */
  readyTimeoutMs?: number;
}

const DEFAULT_READY_TIMEOUT_MS = 20_000;
const DEFAULT_STOP_GRACE_MS = 5_000;
const MAX_LOG_CHARACTERS = 16_384;

const started = new Set<ChildProcess>();

/** Kills every child that still runs, so that an aborted test run leaves no process behind. */
process.on('exit', () => {
  started.forEach((child) => child.kill('SIGKILL'));
});

/** Calls `onFirst` with the first line, and `onLine`, if it is given, with each later one. */
const readLines = (
  child: ChildProcess,
  onFirst: (line: string) => void,
  onLine: ((line: string) => void) | undefined,
): void => {
  let text = '';
  let hasFirst = false;
  const read = (data: Buffer): void => {
    const lines = `${text}${data.toString('utf8')}`.split('\n');
    text = lines.pop() ?? '';
    lines.forEach((line) => {
      if (hasFirst) onLine?.(line);
      else onFirst(line);
      hasFirst = true;
    });
    if (!hasFirst || onLine) return;
    child.stdout?.off('data', read);
    child.stdout?.resume();
  };
  child.stdout?.on('data', read);
};

const waitForExit = (child: ChildProcess): Promise<ChildExit> =>
  new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      started.delete(child);
      resolve({ code, signal });
    });
  });

const waitForReadyLine = (
  child: ChildProcess,
  spec: ChildSpec,
  log: () => string,
): Promise<string> =>
  new Promise((resolve, reject) => {
    const fail = (what: string): void => reject(new Error(`${spec.name} ${what}\n${log()}`));
    const timeoutMs = spec.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      fail(`printed no ready line within ${timeoutMs} ms`);
    }, timeoutMs);
    child.once('exit', (code, signal) => {
      clearTimeout(timer);
      fail(`exited before it was ready (${code ?? signal})`);
    });
    const onFirst = (line: string): void => {
      clearTimeout(timer);
      resolve(line);
    };
    readLines(child, onFirst, spec.onLine);
  });

/** Starts a process and waits for its ready line: one JSON object on standard output. */
export const startChild = async <Ready>(spec: ChildSpec): Promise<Child<Ready>> => {
  const child = spawn(process.execPath, [...(spec.nodeArgs ?? []), spec.script, ...spec.args], {
    cwd: repositoryRoot,
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, NODE_OPTIONS: '', ...spec.env },
  });
  started.add(child);
  const exited = waitForExit(child);
  let stderr = '';
  child.stderr.on('data', (data: Buffer) => {
    stderr = (stderr + data.toString('utf8')).slice(-MAX_LOG_CHARACTERS);
  });
  const log = (): string => stderr;
  const line = await waitForReadyLine(child, spec, log);

  const running = (): boolean => started.has(child);
  const kill = (): Promise<ChildExit> => {
    if (running()) child.kill('SIGKILL');
    return exited;
  };
  const stop = async (graceMs = DEFAULT_STOP_GRACE_MS): Promise<ChildExit> => {
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
