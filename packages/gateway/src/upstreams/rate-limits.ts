/**
 * Rate limits of all upstreams: applies advertised limits and sent requests, and exchanges both with the other entries.
 */

import type { EventLog, Metrics } from '@plantaindrum/common';
import type { RateLimitUpdate } from '../mesh/rate-limit-update.js';
import type { UpstreamStart } from '../types.js';
import type { Upstream } from './upstream.js';

/** What a response says about the rate limit of its upstream. */
export interface ResponseLimit {
  requestId: string;
  /** Requests a second from all entries together; undefined: it advertises no limit. */
  perSecond: number | undefined;
  /** When its request was sent (monotonic, ms). */
  sentAt: number;
  /** Whether the upstream ran the request: only then does a response without a limit clear it. */
  hasRun: boolean;
}

/** The limits of all upstreams, shared with the other entries. */
export interface RateLimits {
  /** Applies what a response says about the limit. */
  recordResponse(upstream: Upstream, response: ResponseLimit): void;
  /** Records that this entry sends a request to the upstream. */
  recordSent(upstream: Upstream): void;
  /** Applies the remaining warm-up that an upstream's health response states, in milliseconds. */
  recordHealth(start: UpstreamStart, warmupLeftMs: number): void;
  /** Applies the update of another entry. */
  applyUpdate(peer: string, update: RateLimitUpdate): void;
  /** All known limits, for an entry that has just connected. */
  snapshot(): RateLimitUpdate;
}

/** Options of `createRateLimits`. */
export interface RateLimitsOptions {
  upstreams: () => readonly Upstream[];
  /** Sends an update to all other entries. */
  broadcast: (update: RateLimitUpdate) => void;
  metrics: Metrics;
  log: EventLog;
}

/** Creates the rate limits of an entry that knows none. */
export const createRateLimits = (options: RateLimitsOptions): RateLimits => {
  const { upstreams, broadcast, metrics, log } = options;

  const logChange = (
    { record, rate }: Upstream,
    before: number | undefined,
    source: { requestId: string } | { peer: string },
  ): void => {
    const perSecond = rate.perSecond();
    const change = perSecond === undefined ? 'cleared' : 'set';
    metrics.count('gateway_rate_limits', { change });
    const { instance, service } = record;
    log.event('upstream-rate-limit', { upstream: instance, service, perSecond, before, ...source });
  };

  /** Runs `run` for the upstream that a peer names, if the same start of it is known here. */
  const withUpstream = (
    { instance, startedAt }: { instance: string; startedAt: number },
    run: (upstream: Upstream) => void,
  ): void =>
    upstreams()
      .filter(({ record }) => record.instance === instance && record.startedAt === startedAt)
      .forEach(run);

  return {
    recordResponse: (upstream, { requestId, perSecond, sentAt, hasRun }) => {
      const { rate, record } = upstream;
      if (perSecond === undefined && !hasRun) return;
      const before = rate.perSecond();
      const isChanged = perSecond === undefined ? rate.clear(sentAt) : rate.set(perSecond);
      if (!isChanged) return;
      logChange(upstream, before, { requestId });
      const { instance, startedAt } = record;
      broadcast({ limits: [{ instance, startedAt, perSecond: perSecond ?? null }], sent: [] });
    },
    recordSent: ({ rate, warmup, record }) => {
      const { instance, startedAt, service } = record;
      const isLimited = rate.perSecond() !== undefined;
      if (isLimited) {
        rate.spend(1);
        metrics.count('gateway_attempts_rate_limited', { service });
      }
      if (warmup && warmup.leftMs() > 0) metrics.count('gateway_cold_sends', { service });
      const isFromPool = warmup?.spend() ?? false;
      if (!isLimited && !isFromPool) return;
      const requests = [{ instance, startedAt, requests: 1 }];
      const coldSent = isFromPool && { coldSent: requests };
      broadcast({ limits: [], sent: isLimited ? requests : [], ...coldSent });
    },
    recordHealth: (start, warmupLeftMs) =>
      withUpstream(start, ({ warmup, record: { instance, startedAt } }) => {
        const wasCold = (warmup?.leftMs() ?? 0) > 0;
        warmup?.applyHealth(warmupLeftMs);
        const leftMs = warmup?.leftMs() ?? 0;
        if (wasCold || leftMs === 0) return;
        broadcast({ limits: [], sent: [], cold: [{ instance, startedAt, leftMs }] });
      }),
    applyUpdate: (peer, { limits, sent, cold = [], coldSent = [] }) => {
      limits.forEach((limit) => {
        withUpstream(limit, (upstream) => {
          const before = upstream.rate.perSecond();
          const isChanged =
            limit.perSecond === null
              ? upstream.rate.clear(Infinity)
              : upstream.rate.set(limit.perSecond);
          if (isChanged) logChange(upstream, before, { peer });
        });
      });
      sent.forEach((request) => withUpstream(request, ({ rate }) => rate.spend(request.requests)));
      cold.forEach(({ leftMs, ...start }) =>
        withUpstream(start, ({ warmup }) => warmup?.applyPeer(leftMs)),
      );
      // Of any start: a request that was sent to an earlier one may reach the one that runs now.
      coldSent.forEach(({ instance, requests }) =>
        upstreams()
          .filter(({ record }) => record.instance === instance)
          .forEach(({ warmup }) => warmup?.spendPeer(requests)),
      );
    },
    snapshot: () => {
      const cold = upstreams()
        .filter(({ warmup }) => warmup?.isCold())
        .map(({ warmup, record: { instance, startedAt } }) => ({
          ...{ instance, startedAt, leftMs: warmup?.leftMs() ?? 0 },
        }));
      const limits = upstreams().flatMap(({ rate, record: { instance, startedAt } }) => {
        const perSecond = rate.perSecond();
        return perSecond === undefined ? [] : [{ instance, startedAt, perSecond }];
      });
      return { limits, sent: [], ...(cold.length > 0 && { cold }) };
    },
  };
};
