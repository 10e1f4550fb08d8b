import type { Clock } from '@plantaindrum/common';
import type { Load } from '@plantaindrum/link';
import type { AgentQueue, QueueItem, Rejected } from '@plantaindrum/requests';
import { every } from './routing-clock.js';

/** A request of the model, as the queue holds it. */
export interface ModelRequest extends QueueItem {
  prefix: string;
  prefixTokens: number;
  promptTokens: number;
  outputTokens: number;
  /** When the caller sent it, in milliseconds. */
  sentAt: number;
  /** Its class's target, in milliseconds. */
  targetMs: number;
}

/** What an upstream tells about a request. */
export interface UpstreamEvents<T extends ModelRequest> {
  started(request: T): void;
  firstToken(request: T, prefixHit: boolean): void;
  ended(request: T): void;
  rejected(rejected: Rejected<T>): void;
}

/** Settings of an upstream of the model. */
export interface ModelUpstreamOptions<T extends ModelRequest> {
  clock: Clock;
  queue: AgentQueue<T>;
  concurrency: number;
  /** Prefixes that the cache holds; the one unused for longest goes first. */
  cachedPrefixes: number;
  events: UpstreamEvents<T>;
}

/** An engine with its agent's queue: slots, prefill, decode steps and a prefix cache. */
export interface ModelUpstream<T extends ModelRequest> {
  offer(request: T): void;
  load(): Load;
  /** Makes everything this many times slower. */
  setSlowness(factor: number): void;
}

const PREFILL_MS_PER_TOKEN = 0.25;
const STEP_MS = 5;
const STEP_MS_PER_RUNNING = 0.25;
const SWEEP_MS = 100;

/** Creates an upstream of the model. */
export const createModelUpstream = <T extends ModelRequest>(
  options: ModelUpstreamOptions<T>,
): ModelUpstream<T> => {
  const { clock, queue, concurrency, cachedPrefixes, events } = options;
  const cache = new Set<string>();
  let running = 0;
  let slowness = 1;

  const remember = (prefix: string): boolean => {
    const hit = cache.delete(prefix);
    cache.add(prefix);
    const [oldest] = cache;
    if (cache.size > cachedPrefixes && oldest !== undefined) cache.delete(oldest);
    return hit;
  };

  const start = (request: T, pump: () => void) => {
    running += 1;
    const hit = remember(request.prefix);
    const tokens = request.promptTokens - (hit ? request.prefixTokens : 0);
    const prefillMs = tokens * PREFILL_MS_PER_TOKEN * slowness;
    const stepMs = (STEP_MS + STEP_MS_PER_RUNNING * running) * slowness;
    events.started(request);
    clock.after(prefillMs + stepMs, () => {
      queue.recordFirstByte(request.id);
      events.firstToken(request, hit);
    });
    clock.after(prefillMs + stepMs * request.outputTokens, () => {
      running -= 1;
      queue.recordEnd(request.id);
      events.ended(request);
      pump();
    });
  };

  const pump = () => {
    while (running < concurrency) {
      const request = queue.take();
      if (!request) return;
      start(request, pump);
    }
  };

  every(clock, SWEEP_MS, () => queue.sweep().forEach(events.rejected));

  return {
    offer: (request) => {
      queue.offer(request).rejected.forEach(events.rejected);
      pump();
    },
    load: () => {
      const { queued, drainPerSecond } = queue.load();
      return { queued, running, drainPerSecond, leaving: false };
    },
    setSlowness: (factor) => {
      slowness = factor;
    },
  };
};
