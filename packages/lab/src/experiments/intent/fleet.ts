/** A fleet of intent nodes as processes, on a log stand-in in this process. */

import { randomUUID } from 'node:crypto';
import type { IntentChange, IntentFreshness, SubmitOutcome } from '@plantaindrum/intent';
import { createLogStandIn } from '@plantaindrum/stand-ins';
import type { LogStandIn } from '@plantaindrum/stand-ins';
import { request } from 'undici';
import type { Child } from '../../harness/child.js';
import { startChild } from '../../harness/child.js';
import { until } from '../../harness/until.js';
import type { NodeCounts } from './node.js';

/** How the nodes of a fleet learn of changes. */
export type Spread =
  /** Every node reads the log; nobody asks peers. */
  | 'log-only'
  /** Every node reads the log, and fetches gaps from peers. */
  | 'log-and-peers'
  /** Two nodes read the log, the others their peers. */
  | 'few-readers';

interface NodeReady {
  control: string;
  link: number;
}

/** Outcome of one submission with times of the machine's clock, in milliseconds. */
export interface Submitted {
  outcome: SubmitOutcome;
  begunAt: number;
  endedAt: number;
}

/** What a node has seen. */
export interface Seen {
  /** Time at which each offset came into force, by offset. */
  seen: Record<string, number>;
  freshness: IntentFreshness;
}

/** A running fleet. */
export interface IntentFleet {
  log: LogStandIn;
  names: string[];
  submit(node: number, changes: IntentChange[], id?: string): Promise<Submitted>;
  seen(node: number): Promise<Seen>;
  counts(): Promise<NodeCounts[]>;
  close(): Promise<void>;
}

const SCRIPT = 'packages/lab/dist/experiments/intent/node.js';
const LOG_READERS = 2;
const SUCCESSORS = 4;

const post = async <T>(url: string, body: unknown): Promise<T> => {
  const res = await request(url, { method: 'POST', body: JSON.stringify(body) });
  return (await res.body.json()) as T;
};

const flagsOf = (spread: Spread, index: number): string[] => [
  `--follow=${spread === 'few-readers' && index >= LOG_READERS ? 'peers' : 'log'}`,
  `--gaps=${spread !== 'log-only'}`,
];

/** Each node dials its successors on a ring, so that nobody has more than twice as many links. */
const successorsOf = (index: number, count: number): number[] => {
  const reach = Math.min(SUCCESSORS, Math.floor(count / 2));
  return Array.from({ length: reach }, (_, step) => (index + step + 1) % count);
};

/** Starts `count` nodes and waits until all are ready. */
export const startIntentFleet = async (count: number, spread: Spread): Promise<IntentFleet> => {
  const log = await createLogStandIn();
  const names = Array.from({ length: count }, (_, index) => `n${index}`);
  const start = (name: string, index: number): Promise<Child<NodeReady>> => {
    const args = [`--name=${name}`, `--log=${log.url}`, ...flagsOf(spread, index)];
    return startChild<NodeReady>({ name, script: SCRIPT, args });
  };
  const children = await Promise.all(names.map(start));
  const controlOf = (index: number): string => children[index]?.ready.control ?? '';

  const dial = (index: number): Promise<unknown> => {
    const ports = successorsOf(index, count).map((peer) => children[peer]?.ready.link);
    return post(`${controlOf(index)}/dial`, ports);
  };
  await Promise.all(names.map((_, index) => dial(index)));

  const seen = (index: number): Promise<Seen> => post(`${controlOf(index)}/seen`, {});
  const isReady = async (index: number): Promise<boolean> => (await seen(index)).freshness.caughtUp;
  await Promise.all(names.map((name, index) => until(`${name} is ready`, () => isReady(index))));

  return {
    log,
    names,
    submit: (node, changes, id = randomUUID()) =>
      post(`${controlOf(node)}/submit`, { id, author: 'lab', changes }),
    seen,
    counts: () =>
      Promise.all(names.map((_, index) => post<NodeCounts>(`${controlOf(index)}/counts`, {}))),
    close: async () => {
      await Promise.all(children.map((child) => child.kill()));
      await log.close();
    },
  };
};
