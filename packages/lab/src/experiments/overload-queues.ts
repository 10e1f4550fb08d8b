import type { Clock, Random } from '@plantaindrum/common';
import type { AgentQueue, AgentQueueOptions, Rejected } from '@plantaindrum/requests';
import { createAgentQueue } from '@plantaindrum/requests';
import type { ModelRequest } from './routing-upstream.js';

/** What a queue is made from. */
export interface QueueContext {
  clock: Clock;
  random: Random;
  capacity: number;
  concurrency: number;
}

/** A queue of the model. */
export type ModelQueue = AgentQueue<ModelRequest>;

type Order = (a: ModelRequest, b: ModelRequest) => number;

interface SimpleQueueRules {
  order: Order;
  dropsExpired: boolean;
}

/** What the baselines know in advance of the time from start to first token. */
const START_TO_FIRST_MS = 200;

/** Baseline: one order for all, refusals only when the queue is full. */
const createSimpleQueue = (context: QueueContext, rules: SimpleQueueRules): ModelQueue => {
  const { clock, capacity } = context;
  const waiting: ModelRequest[] = [];
  const running = new Set<string>();

  const rejection = (
    item: ModelRequest,
    reason: Rejected<ModelRequest>['reason'],
  ): Rejected<ModelRequest> => ({ item, reason, retryAfterMs: 1_000 });

  const isExpired = (item: ModelRequest) => item.deadline - START_TO_FIRST_MS <= clock.monotonic();

  return {
    offer: (item) => {
      if (waiting.length >= capacity) {
        return { admitted: false, rejected: [rejection(item, 'queue-full')] };
      }
      const at = waiting.findIndex((other) => rules.order(item, other) < 0);
      waiting.splice(at < 0 ? waiting.length : at, 0, item);
      return { admitted: true, rejected: [] };
    },
    take: () => {
      const at = rules.dropsExpired ? waiting.findIndex((item) => !isExpired(item)) : 0;
      const [item] = at < 0 ? [] : waiting.splice(at, 1);
      if (item) running.add(item.id);
      return item;
    },
    cancel: () => undefined,
    recordFirstByte: () => {},
    recordEnd: (id) => {
      running.delete(id);
    },
    sweep: () => {
      if (!rules.dropsExpired) return [];
      const expired = waiting.filter(isExpired);
      expired.forEach((item) => waiting.splice(waiting.indexOf(item), 1));
      return expired.map((item) => rejection(item, 'deadline-passed'));
    },
    shutDown: () => [],
    load: () => ({
      queued: waiting.length,
      running: running.size,
      queuedCost: 0,
      drainPerSecond: 0,
      drainCostPerSecond: 0,
      leaving: false,
    }),
  };
};

const byArrival: Order = (a, b) => a.sentAt - b.sentAt;
const byDeadline: Order = (a, b) => a.deadline - b.deadline;

const ours =
  (change: Partial<AgentQueueOptions> = {}) =>
  (context: QueueContext): ModelQueue =>
    createAgentQueue<ModelRequest>({ ...context, ...change });

/** The agent's queue as it would be if it never learnt its drain rate: it admits until full. */
const withoutRefusals = (context: QueueContext): ModelQueue => ({
  ...createAgentQueue<ModelRequest>(context),
  recordEnd: () => {},
});

/** Baselines first, then the agent's queue and its variants. */
export const modelQueues: Record<string, (context: QueueContext) => ModelQueue> = {
  fifo: (context) => createSimpleQueue(context, { order: byArrival, dropsExpired: false }),
  'fifo, drops expired': (context) =>
    createSimpleQueue(context, { order: byArrival, dropsExpired: true }),
  'earliest deadline': (context) =>
    createSimpleQueue(context, { order: byDeadline, dropsExpired: true }),
  ours: ours(),
  'ours, lanes only': ours({ shareSlack: Infinity }),
  'ours, slack 1.1': ours({ shareSlack: 1.1 }),
  'ours, slack 1.5': ours({ shareSlack: 1.5 }),
  'ours, no refusals': withoutRefusals,
};
