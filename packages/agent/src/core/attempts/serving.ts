/** The request path of an agent: its queue, its upstream, the claims on keys, and the attempts. */

import type { AgentSettings, Clock, Metrics, Random } from '@plantaindrum/common';
import type { Dispatch, Link, Load } from '@plantaindrum/link';
import type { Log } from '@plantaindrum/service-clients';
import type { AgentQueue, Claims } from '@plantaindrum/requests';
import { createAgentQueue, createAttemptStateRegistry, createClaims } from '@plantaindrum/requests';
import { encodeEngineBody } from '../upstream/engine-body.js';
import type { Upstream } from '../upstream/upstream.js';
import { createUpstream } from '../upstream/upstream.js';
import type { AttemptLimits } from './attempt-manager.js';
import { createAttemptManager } from './attempt-manager.js';
import { runAttempt } from './run-attempt.js';
import { createKeyedRunner } from './run-keyed.js';
import type { AttemptManager, AttemptRunner, QueuedAttempt } from './types.js';

/** Maximum wait for the outcomes of keyed requests to reach the log when the agent stops. */
const CLAIMS_FLUSH_TIMEOUT_MS = 3_000;
const MAX_UNDELIVERED_PER_SLOT = 8;

const defaultAttemptLimits = {
  retentionMs: 60_000,
  maxEnded: 4_096,
  graceMs: 5_000,
  maxHeldBytes: 67_108_864,
};

/** Options of `createServing`. */
export interface ServingOptions {
  settings: AgentSettings;
  instance: string;
  platformLog: Log;
  /** Whether new requests of this entry are currently refused. */
  refusesEntry: (entry: Link) => boolean;
  attemptLimits?: Partial<AttemptLimits>;
  clock: Clock;
  random: Random;
  metrics: Metrics;
}

/** The request path of an agent. */
export interface Serving {
  attemptManager: AttemptManager;
  load(): Load;
  /** Refuses new requests, returns queued ones as "not run", and waits for the rest to end. */
  drain(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Statuses of an engine that is full or not ready. A plain service's statuses are forwarded as its
 * answers.
 */
const ENGINE_REFUSAL_STATUSES = [429, 503];

const createRunner = (
  { settings, clock, metrics }: ServingOptions,
  upstream: Upstream,
  queue: AgentQueue<QueuedAttempt>,
  claims: Claims,
): AttemptRunner => {
  const encodeBody =
    settings.upstream.kind === 'model' ? encodeEngineBody : ({ body }: Dispatch) => body;
  const refusalStatuses = settings.upstream.kind === 'model' ? ENGINE_REFUSAL_STATUSES : [];
  const runOptions = {
    upstream,
    encodeBody,
    refusalStatuses,
    metrics,
    onFirstByte: queue.recordFirstByte,
  };
  const runKeyed = createKeyedRunner({
    claims,
    run: (attempt, dispatch, tryStart, observe) =>
      runAttempt(attempt, dispatch, tryStart, { ...runOptions, observe }),
    clock,
  });
  return (attempt, dispatch, tryStart) =>
    dispatch.idempotency
      ? runKeyed(attempt, dispatch, dispatch.idempotency, tryStart)
      : runAttempt(attempt, dispatch, tryStart, runOptions);
};

/** Creates the request path of an agent. */
export const createServing = (options: ServingOptions): Serving => {
  const { settings, instance, platformLog, refusesEntry, clock, random, metrics } = options;
  const { queue: capacity, concurrency } = settings.limits;
  const upstream = createUpstream({ url: settings.upstream.url, clock, metrics });
  const queue = createAgentQueue<QueuedAttempt>({ clock, random, capacity, concurrency });
  const claims = createClaims({ clock, log: platformLog, metrics, instance });

  const load = (): Load => {
    const { queued, running, drainPerSecond, leaving } = queue.load();
    return { queued, running, drainPerSecond, leaving };
  };
  const attemptManager = createAttemptManager({
    queue,
    registry: createAttemptStateRegistry(),
    run: createRunner(options, upstream, queue, claims),
    load,
    refusesEntry,
    limits: {
      ...defaultAttemptLimits,
      concurrency,
      maxUndelivered: concurrency * MAX_UNDELIVERED_PER_SLOT,
      ...options.attemptLimits,
    },
    clock,
    metrics,
  });

  return {
    attemptManager,
    load,
    drain: async () => {
      attemptManager.drain();
      await attemptManager.waitUntilIdle();
      await claims.flush(CLAIMS_FLUSH_TIMEOUT_MS);
    },
    close: async () => {
      claims.close();
      attemptManager.close();
      upstream.close();
    },
  };
};
