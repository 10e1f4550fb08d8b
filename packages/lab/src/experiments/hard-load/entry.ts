/** One emulated entry: the gateway's directory and admission modules, without a network. */

import { createMetrics, ok, silentEventLog } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import {
  createAdmission,
  createDirectory,
  createRouteTable,
  createStreamAdmission,
} from '@plantaindrum/gateway';
import type { AdmissionVerdict, Intent, Upstream } from '@plantaindrum/gateway';
import type { AdmissionMode } from './types.js';

/** Service that all classes use. */
export const SERVICE = 's';

/** A request at an entry. */
export interface EntryRequest {
  id: string;
  organisation: string;
  priority: number;
  targetMs: number;
  arrivedAt: number;
  deadlineAt: number;
  /** Time since the caller's first attempt, in ms. */
  elapsedMs: number;
  promptTokens: number;
}

/** A decision, with what the request reports while it runs. */
export type Decision = Pick<Extract<AdmissionVerdict, { outcome: 'refused' }>, 'retryAfterMs'> & {
  isSent: boolean;
};

/** A request's place at an entry. */
export interface RequestHandle {
  begun: () => void;
  ended: () => void;
}

/** Options of `createEntry`. */
export interface EntryOptions {
  name: string;
  mode: AdmissionMode;
  intent: Intent;
  ranks: number;
  slots: number;
  entries: number;
  isEvacuated: (rank: number) => boolean;
  targetPauseMs: number;
  clock: ManualClock;
  random: Random;
}

/** Delay of a return that admission advises today, in ms; see the gateway's refusals. */
const TODAY_RETRY_DELAY = { minMs: 250, spreadMs: 700 };

const rankOf = ({ record }: Upstream): number => Number(record.instance.slice(1));

/** Creates an entry that knows all upstreams. */
export const createEntry = (options: EntryOptions) => {
  const { clock, random, ranks, slots, targetPauseMs } = options;
  const table = createRouteTable(options.intent);
  const directory = createDirectory({
    decode: (_key, value) => ok(JSON.parse(Buffer.from(value).toString())),
    dataCentre: 'd',
    onExited: () => {},
    maxConnections: () => Infinity,
    connectedFraction: () => 1,
    logRecoveredAt: () => -Infinity,
    exclusions: [
      { reason: 'no-upstream', excludes: (upstream) => options.isEvacuated(rankOf(upstream)) },
    ],
    clock,
    random,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  for (let rank = 0; rank < ranks; rank += 1) {
    const address = { instance: `r${rank}`, service: SERVICE, host: `h${rank}`, port: 1 };
    const state = { dataCentre: 'd', slots, state: 'ready', warmupLeftMs: 0, sequence: 1 };
    const value = Buffer.from(JSON.stringify({ ...address, ...state, startedAt: 0 }));
    directory.apply({ key: address.instance, value });
  }
  const admission = createAdmission(clock, silentEventLog);
  const streams = createStreamAdmission({
    directory,
    routeTable: () => table,
    groups: { nameOf: () => undefined, openForMs: () => Infinity },
    entries: () => options.entries,
    connectedFraction: () => 1,
    clock,
    random,
    metrics: createMetrics(),
  });
  const timings = admission.eventTimings(SERVICE);

  const decideToday = (request: EntryRequest): Decision => {
    const { admitted } = admission.decide(
      {
        service: SERVICE,
        targetPauseMs,
        passTimes: table.service(SERVICE)?.engine?.passTimes,
        maxConnections: Infinity,
        isReturn: request.elapsedMs > 0,
      },
      directory.preferred(SERVICE),
      directory.available(SERVICE),
    );
    const { minMs, spreadMs } = TODAY_RETRY_DELAY;
    return { isSent: admitted, retryAfterMs: minMs + random() * spreadMs };
  };

  return {
    directory,
    streams,
    rankOf,
    offer: (request: EntryRequest, decided: (decision: Decision) => void): RequestHandle => {
      const shared = options.mode === 'shared' ? streams.of(SERVICE) : undefined;
      if (!shared) {
        decided(decideToday(request));
        return { begun: () => {}, ended: () => {} };
      }
      const ticket = shared.offer({ ...request, hasBegun: false }, (verdict) => {
        if (verdict.outcome === 'send') streams.recordPrompt(SERVICE, request.promptTokens);
        const retryAfterMs = verdict.outcome === 'send' ? 0 : verdict.retryAfterMs;
        decided({ isSent: verdict.outcome === 'send', retryAfterMs });
      });
      return { begun: ticket.recordBegun, ended: () => ticket.recordEnded(true) };
    },
    recordPause: (upstream: Upstream, ms: number): void => {
      timings.recordPause(ms);
      streams.recordPause(upstream, ms);
    },
    recordFirstEvent: (upstream: Upstream, ms: number): void => {
      timings.recordFirstEvent(ms);
      streams.recordFirstEvent(upstream, ms);
    },
  };
};
