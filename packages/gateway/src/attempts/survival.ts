/** Whether an upstream's process has lived through the end of an answer. */

import {
  confirmSurvival,
  createExitCheck,
  createLiveness,
  startExchange,
} from '@plantaindrum/exchange';
import type {
  Identity,
  LivenessConnection,
  LivenessHold,
  SurvivalOutcome,
} from '@plantaindrum/exchange';
import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { HeaderDialect, UpstreamRecord } from '../types.js';
import { createFramingHistory } from './framing-history.js';

/** Checks the ends of answers that have neither a length nor chunks. */
export interface AnswerSurvival {
  /**
   * Keeps a connection to an upstream open during an attempt that has begun; undefined if its answers have a framing.
   */
  hold(upstream: UpstreamRecord): LivenessHold | undefined;
  recordFraming(service: string, isFramed: boolean): void;
  /** Checks the process right after its answer has ended, with the connection that was held then. */
  confirm(
    upstream: UpstreamRecord,
    connection: LivenessConnection | undefined,
  ): Promise<SurvivalOutcome>;
  close(): void;
}

/** Options of `createAnswerSurvival`. */
export interface AnswerSurvivalOptions {
  dialect: HeaderDialect;
  healthPath: (service: string) => string | undefined;
  /** Called with the remaining warm-up that an upstream's health response states, in milliseconds. */
  onWarmup: (upstream: UpstreamRecord, leftMs: number) => void;
  /** Called if an upstream that is not leaving refuses connections. */
  onExited: (upstream: UpstreamRecord) => void;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

const CONNECT_TIMEOUT_MS = 100;
const IDENTIFY_TIMEOUT_MS = 350;

const compareInstance = (upstream: UpstreamRecord, stated: string | undefined): Identity => {
  if (stated === undefined) return 'unknown';
  return stated === upstream.instance ? 'same' : 'other';
};

/** Creates the checks of one entry. */
export const createAnswerSurvival = (options: AnswerSurvivalOptions): AnswerSurvival => {
  const { dialect, healthPath, onExited, clock, metrics, log } = options;
  const framing = createFramingHistory(clock);
  const liveness = createLiveness({
    onClosed: ({ instance }) => log.event('liveness-connection-closed', { upstream: instance }),
    clock,
  });
  const checkExit = createExitCheck<UpstreamRecord>({
    ...{ delayMs: 0, timeoutMs: CONNECT_TIMEOUT_MS },
    // An upstream that is leaving may exit as soon as its last answer has been sent.
    onExited: (upstream) => {
      if (upstream.state === 'ready') onExited(upstream);
    },
    clock,
  });

  const readIdentity = async (upstream: UpstreamRecord): Promise<string | undefined> => {
    const path = healthPath(upstream.service);
    if (path === undefined) return undefined;
    const { host, port } = upstream;
    const headers = ['Host', `${host}:${port}`, 'Connection', 'close'];
    const exchange = startExchange(
      {
        host,
        port,
        method: 'GET',
        path,
        headers,
        body: new Uint8Array(),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
      },
      clock,
    );
    const stopTimer = clock.after(IDENTIFY_TIMEOUT_MS, exchange.abort);
    const head = await exchange.head;
    stopTimer();
    exchange.abort();
    if (head.outcome !== 'head') return undefined;
    const { headers: stated } = head.res.on('error', () => {});
    const instance = dialect.readInstance(stated);
    const warmupMs = dialect.readWarmup(stated);
    if (instance === upstream.instance && warmupMs !== undefined) {
      options.onWarmup(upstream, warmupMs);
    }
    return instance;
  };

  const identify = async (upstream: UpstreamRecord): Promise<Identity> => {
    const outcome = compareInstance(upstream, await readIdentity(upstream));
    metrics.count('gateway_identity_probes', { outcome });
    return outcome;
  };

  return {
    hold: (upstream) =>
      framing.expectsUnframed(upstream.service) ? liveness.hold(upstream) : undefined,
    recordFraming: framing.record,
    confirm: (upstream, connection) =>
      confirmSurvival(upstream, connection, { checkExit, identify }),
    close: liveness.close,
  };
};
