/** Rate limits that upstreams advertise: what this entry learns and sends, and what others tell of it. */

import type { EventLog, Metrics } from '@plantaindrum/common';
import type { RateNews } from '../mesh/rate-news.js';
import type { Upstream } from './upstream.js';

/** What an answer says of its upstream's limit. */
export interface AnsweredLimit {
  requestId: string;
  /** Requests a second from all entries together; undefined: it advertises none. */
  perSecond: number | undefined;
  /** When its request was sent (monotonic, ms). */
  sentAt: number;
  /** The upstream ran the request: only such an answer without a limit clears one. */
  hasRun: boolean;
}

/** The limits of all upstreams, shared with the other entries. */
export interface RateLimits {
  noteAnswer(upstream: Upstream, answer: AnsweredLimit): void;
  /** This entry sends a request to the upstream. */
  noteSent(upstream: Upstream): void;
  /** Another entry's news. */
  takeNews(peer: string, news: RateNews): void;
  /** All limits that are known, for an entry that is newly linked. */
  whole(): RateNews;
}

/** Options of `createRateLimits`. */
export interface RateLimitsOptions {
  upstreams: () => readonly Upstream[];
  tell: (news: RateNews) => void;
  metrics: Metrics;
  log: EventLog;
}

/** Creates the limits of an entry that has heard of none. */
export const createRateLimits = (options: RateLimitsOptions): RateLimits => {
  const { upstreams, tell, metrics, log } = options;

  const logChange = (
    { record, rate }: Upstream,
    before: number | undefined,
    learnt: { requestId: string } | { peer: string },
  ): void => {
    const perSecond = rate.perSecond();
    const change = perSecond === undefined ? 'cleared' : 'set';
    metrics.count('gateway_rate_limits', { change });
    const { instance, service } = record;
    log.event('upstream-rate-limit', { upstream: instance, service, perSecond, before, ...learnt });
  };

  /** Runs `run` for the upstream that a peer means, if its start is the one that is listed here. */
  const withUpstream = (
    { instance, startedAt }: { instance: string; startedAt: number },
    run: (upstream: Upstream) => void,
  ): void =>
    upstreams()
      .filter(({ record }) => record.instance === instance && record.startedAt === startedAt)
      .forEach(run);

  return {
    noteAnswer: (upstream, { requestId, perSecond, sentAt, hasRun }) => {
      const { rate, record } = upstream;
      if (perSecond === undefined && !hasRun) return;
      const before = rate.perSecond();
      const isNews = perSecond === undefined ? rate.clear(sentAt) : rate.set(perSecond);
      if (!isNews) return;
      logChange(upstream, before, { requestId });
      const { instance, startedAt } = record;
      tell({ limits: [{ instance, startedAt, perSecond: perSecond ?? null }], sent: [] });
    },
    noteSent: ({ rate, record }) => {
      if (rate.perSecond() === undefined) return;
      rate.spend(1);
      metrics.count('gateway_attempts_rate_limited', { service: record.service });
      const { instance, startedAt } = record;
      tell({ limits: [], sent: [{ instance, startedAt, requests: 1 }] });
    },
    takeNews: (peer, { limits, sent }) => {
      limits.forEach((news) => {
        withUpstream(news, (upstream) => {
          const before = upstream.rate.perSecond();
          const isNews =
            news.perSecond === null
              ? upstream.rate.clear(Infinity)
              : upstream.rate.set(news.perSecond);
          if (isNews) logChange(upstream, before, { peer });
        });
      });
      sent.forEach((news) => withUpstream(news, ({ rate }) => rate.spend(news.requests)));
    },
    whole: () => ({
      limits: upstreams().flatMap(({ rate, record: { instance, startedAt } }) => {
        const perSecond = rate.perSecond();
        return perSecond === undefined ? [] : [{ instance, startedAt, perSecond }];
      }),
      sent: [],
    }),
  };
};
