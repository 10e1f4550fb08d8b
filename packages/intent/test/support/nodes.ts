import { setImmediate } from 'node:timers/promises';
import { createManualClock, createMetrics, silentLogger } from '@plantaindrum/common';
import type { ManualClock, Metrics } from '@plantaindrum/common';
import { createMemoryLog } from '@plantaindrum/stand-ins';
import type { LogFaults, MemoryLog } from '@plantaindrum/stand-ins';
import { createIntentReader, fetchFullAnswer } from '../../src/index.js';
import type {
  IntentChange,
  IntentKey,
  IntentNode,
  IntentPeer,
  IntentReaderOptions,
  SubmitOutcome,
} from '../../src/index.js';

/** A reader on a fake log, which can be cut off from its peers. */
export interface TestNode {
  name: string;
  node: IntentNode;
  metrics: Metrics;
  /** Faults of this node's connection to the log. */
  faults: LogFaults;
  /** While true, no peer reaches this node and it reaches none. */
  cutOff: boolean;
  close(): Promise<void>;
}

/** Several nodes in one process, on a manual clock. */
export interface Fleet {
  clock: ManualClock;
  log: MemoryLog;
  start(name: string, options?: Partial<IntentReaderOptions>): TestNode;
  /** Links two nodes; heartbeats carry offsets every 500 ms. */
  link(a: TestNode, b: TestNode): void;
  /** Advances time, and runs everything that is due by then. */
  run(ms: number): Promise<void>;
  closeAll(): Promise<void>;
}

const HEARTBEAT_INTERVAL_MS = 500;

/** Creates a fleet with an empty log. */
export const createFleet = (): Fleet => {
  const clock = createManualClock(1_000_000);
  const log = createMemoryLog({ clock });
  const nodes = new Set<TestNode>();
  let seed = 0;

  const random = (): number => {
    seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return seed / 2_147_483_648;
  };

  const start: Fleet['start'] = (name, options = {}) => {
    const client = log.client();
    const metrics = createMetrics();
    const node = createIntentReader({
      ...{ log: client, clock, random, metrics, logger: silentLogger },
      ...options,
    });
    const started: TestNode = {
      ...{ name, node, metrics, faults: client.faults, cutOff: false },
      close: async () => {
        nodes.delete(started);
        await node.close();
      },
    };
    nodes.add(started);
    return started;
  };

  const isUp = (from: TestNode, to: TestNode): boolean =>
    nodes.has(from) && nodes.has(to) && !from.cutOff && !to.cutOff;

  const linkOneWay = (from: TestNode, to: TestNode): void => {
    const peer: IntentPeer = {
      name: to.name,
      fetch: (after) =>
        fetchFullAnswer(async (args) => {
          if (!isUp(from, to)) return undefined;
          return structuredClone(to.node.serveFetch(args));
        }, after),
    };
    from.node.addPeer(peer);
    const sendHeartbeat = (): void => {
      if (!nodes.has(from) || !nodes.has(to)) {
        from.node.removePeer(peer);
        return;
      }
      const { offset } = to.node.current();
      if (isUp(from, to) && offset > from.node.current().offset) {
        from.node.handlePeerOffset(peer, offset);
      }
      clock.after(HEARTBEAT_INTERVAL_MS, sendHeartbeat);
    };
    sendHeartbeat();
  };

  return {
    clock,
    log,
    start,
    link: (a, b) => {
      linkOneWay(a, b);
      linkOneWay(b, a);
    },
    run: async (ms) => {
      await clock.advance(ms);
      for (let turn = 0; turn < 5; turn += 1) await setImmediate();
    },
    closeAll: async () => {
      await Promise.all([...nodes].map((node) => node.close()));
    },
  };
};

/** Advances time until the promise has settled. */
export const settle = async <T>(clock: ManualClock, promise: Promise<T>): Promise<T> => {
  let settled = false;
  const done = promise.finally(() => {
    settled = true;
  });
  for (let step = 0; !settled && step < 10_000; step += 1) await clock.advance(10);
  return done;
};

/** A class of work with the given target. */
export const classOf = (latestAnswerMs: number) => ({ latestAnswerMs });

/** A change of a class. */
export const changeClass = (
  name: string,
  base: number,
  latestAnswerMs: number | null,
): IntentChange => ({
  key: `classes/${name}` as IntentKey,
  base,
  value: latestAnswerMs === null ? null : classOf(latestAnswerMs),
});

/** Submits changes from one node and waits for the outcome. */
export const submitAt = (
  fleet: Fleet,
  at: TestNode,
  id: string,
  ...changes: IntentChange[]
): Promise<SubmitOutcome> => settle(fleet.clock, at.node.submit({ id, author: at.name, changes }));

/** The target of a class in one node's intent. */
export const targetAt = (at: TestNode, name: string): number | undefined =>
  at.node.current().document.classes[name]?.latestAnswerMs;
