/** Checks that all entries together keep the operators' limit on retries, by the requests that servers received. */

import { maxInWindow } from '@plantaindrum/stand-ins';
import type { Violation } from './checks.js';

/** What the servers of one service received. */
export interface ServiceTraffic {
  service: string;
  /** Requests that any of its servers received: id and monotonic time in ms. */
  arrivals: readonly { id: string; at: number }[];
  /** When callers sent requests for it (monotonic, ms). */
  requestsAt: readonly number[];
}

/** The operators' limit for one service, over all entries. */
export interface RetryLimit {
  ratio: number;
  windowMs: number;
  allowance: number;
}

const findRepeats = (arrivals: ServiceTraffic['arrivals']): number[] => {
  const seen = new Set<string>();
  return [...arrivals]
    .sort((a, b) => a.at - b.at)
    .flatMap(({ id, at }) => {
      if (seen.has(id)) return [at];
      seen.add(id);
      return [];
    });
};

/** Reports a service that got more retries in a window than the requests of the busiest window allow. */
export const findRetryViolations = (
  { service, arrivals, requestsAt }: ServiceTraffic,
  { ratio, windowMs, allowance }: RetryLimit,
): Violation[] => {
  const retries = maxInWindow(findRepeats(arrivals), windowMs);
  const requests = maxInWindow(requestsAt, windowMs);
  const allowed = ratio * requests + allowance;
  if (retries <= allowed) return [];
  const details = `${service}: ${retries} in ${windowMs} ms for ${requests} requests; ${allowed} allowed`;
  return [{ guarantee: 'retries of all entries stay within their limit', details }];
};
