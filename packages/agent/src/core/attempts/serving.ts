/** The serving side of an agent: its queue, its upstream, the claims on keys, and the attempts. */

import type { AgentSettings, Clock, Metrics, Random } from '@plantaindrum/common';
import type { Dispatch, Link, Load } from '@plantaindrum/link';
import type { Log } from '@plantaindrum/service-clients';
import type { AgentQueue, Claims } from '@plantaindrum/requests';
import { createAgentQueue, createAttemptLedger, createClaims } from '@plantaindrum/requests';
import { engineBody } from '../upstream/engine-body.js';
import type { Upstream } from '../upstream/upstream.js';
import { createUpstream } from '../upstream/upstream.js';
import type { DeskLimits } from './desk.js';
import { createAttemptDesk } from './desk.js';
import { runAttempt } from './run-attempt.js';
import { createKeyedRunner } from './run-keyed.js';
import type { AttemptDesk, AttemptRunner, QueuedAttempt } from './types.js';

/** Longest wait for the ends of keyed calls to reach the log when the agent stops. */
const CLAIMS_FLUSH_MS = 3_000;
const UNDELIVERED_FOR_EACH_SLOT = 8;

const defaultDeskLimits = {
  rememberMs: 60_000,
  most: 4_096,
  graceMs: 5_000,
  heldBytes: 67_108_864,
};

/** What serving needs. */
export interface ServingOptions {
  settings: AgentSettings;
  instance: string;
  platformLog: Log;
  /** Whether new work of this entry is turned away for now. */
  isClosedTo: (entry: Link) => boolean;
  deskLimits?: Partial<DeskLimits>;
  clock: Clock;
  random: Random;
  metrics: Metrics;
}

/** The serving side of an agent. */
export interface Serving {
  desk: AttemptDesk;
  load(): Load;
  /** Refuses new work, hands back what hasn't started, and waits for the rest to end. */
  drain(): Promise<void>;
  close(): Promise<void>;
}

/** An engine says so when it is full or not up; a plain service's statuses are its own answers. */
const ENGINE_REFUSALS = [429, 503];

const createRunner = (
  { settings, clock, metrics }: ServingOptions,
  upstream: Upstream,
  queue: AgentQueue<QueuedAttempt>,
  claims: Claims,
): AttemptRunner => {
  const bodyOf = settings.upstream.kind === 'model' ? engineBody : ({ body }: Dispatch) => body;
  const refusals = settings.upstream.kind === 'model' ? ENGINE_REFUSALS : [];
  const parts = { upstream, bodyOf, refusals, metrics, onFirstByte: queue.answering };
  const runKeyed = createKeyedRunner({
    claims,
    run: (attempt, work, begin, observe) => runAttempt(attempt, work, begin, { ...parts, observe }),
    clock,
  });
  return (attempt, work, begin) =>
    work.idempotency
      ? runKeyed(attempt, work, work.idempotency, begin)
      : runAttempt(attempt, work, begin, parts);
};

/** Creates the serving side of an agent. */
export const createServing = (options: ServingOptions): Serving => {
  const { settings, instance, platformLog, isClosedTo, clock, random, metrics } = options;
  const { queue: capacity, concurrency } = settings.limits;
  const upstream = createUpstream(settings.upstream.url);
  const queue = createAgentQueue<QueuedAttempt>({ clock, random, capacity, concurrency });
  const claims = createClaims({ clock, log: platformLog, metrics, instance });

  const load = (): Load => {
    const { queued, running, drainPerSecond, leaving } = queue.load();
    return { queued, running, drainPerSecond, leaving };
  };
  const desk = createAttemptDesk({
    queue,
    ledger: createAttemptLedger(),
    run: createRunner(options, upstream, queue, claims),
    load,
    isClosedTo,
    limits: {
      ...defaultDeskLimits,
      concurrency,
      mostUndelivered: concurrency * UNDELIVERED_FOR_EACH_SLOT,
      ...options.deskLimits,
    },
    clock,
    metrics,
  });

  return {
    desk,
    load,
    drain: async () => {
      desk.leave();
      await desk.idle();
      await claims.flush(CLAIMS_FLUSH_MS);
    },
    close: async () => {
      claims.close();
      desk.close();
      await upstream.close();
    },
  };
};
