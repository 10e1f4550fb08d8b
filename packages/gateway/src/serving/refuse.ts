/** Answers that the entry gives in its own name. */

import type { ServerResponse } from 'node:http';
import type { QuarantineRefusal } from '../quarantine/index.js';
import type { RefusalReason, ServingDeps } from './types.js';

/** An answer of the entry's own. */
export interface Refusal {
  reason: RefusalReason;
  status: 400 | 401 | 404 | 413 | 502 | 503 | 504;
  /** For 503: when the caller may come back, in milliseconds. */
  retryAfterMs?: number;
}

/** Pauses before a caller comes back to a service that is full: others end within a second, in ms. */
const FULL_PAUSE = { leastMs: 250, spreadMs: 700 };
/**
 * Pauses where a group forms anew (600 ms) or this entry has just started, in ms. Callers come back
 * once; told to come after half a second, most of them met the same refusal again.
 */
const FORMING_PAUSE = { leastMs: 900, spreadMs: 1_300 };
/** Pause before a caller goes to another entry, in ms: that one is well. */
const STOPPING_PAUSE = { leastMs: 50, spreadMs: 150 };
const FORMING_REASONS: ReadonlySet<RefusalReason> = new Set([
  'upstreams-refusing',
  'no-upstream',
  'no-intent',
  'intent-outdated',
]);

const MS_PER_SECOND = 1_000;

const pauseAfter = (reason: RefusalReason): { leastMs: number; spreadMs: number } => {
  if (reason === 'stopping') return STOPPING_PAUSE;
  return FORMING_REASONS.has(reason) ? FORMING_PAUSE : FULL_PAUSE;
};

/**
 * A refusal of a request that has not run and won't: the caller may come back, in vain within `waitMs`
 * milliseconds.
 */
export const notRun = (reason: RefusalReason, random: () => number, waitMs = 0): Refusal => {
  const { leastMs, spreadMs } = pauseAfter(reason);
  // Spread over the interval, so that those refused together do not come back together.
  return { reason, status: 503, retryAfterMs: Math.max(leastMs, waitMs) + random() * spreadMs };
};

/** A refusal of a request that may have crashed upstreams. */
export const keptAway = (refusal: QuarantineRefusal, random: () => number): Refusal => {
  const { reason } = refusal;
  if (reason === 'crash-suspect') return notRun(reason, random);
  return { reason, status: 503, retryAfterMs: refusal.retryAfterMs };
};

/** A refusal of a request that may have run: nothing is promised. */
export const mayHaveRun = (reason: RefusalReason): Refusal => ({
  reason,
  status: reason === 'deadline' ? 504 : 502,
});

/** What a refusal is logged with. */
export interface RefusalContext {
  id: string | undefined;
  route: string | undefined;
  /** Milliseconds from arrival to this answer. */
  heldMs: number;
  attempts: number;
  /** What decided, for example a load or an age. */
  inputs?: Record<string, string | number | boolean | undefined>;
}

/** Sends a refusal, counts it and logs what decided it. */
export const refuse = (
  res: ServerResponse,
  refusal: Refusal,
  context: RefusalContext,
  deps: Pick<ServingDeps, 'metrics' | 'log' | 'isStopping'>,
): void => {
  const { reason, status, retryAfterMs } = refusal;
  const { inputs, ...request } = context;
  deps.metrics.count('gateway_refused', { reason });
  deps.log.event('refused', { ...request, reason, status, retryAfterMs, ...inputs });
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const headers: Record<string, string> = { 'Content-Type': 'text/plain' };
  if (retryAfterMs !== undefined) {
    headers['Retry-After'] = (retryAfterMs / MS_PER_SECOND).toFixed(2);
  }
  if (deps.isStopping()) headers.Connection = 'close';
  const body = `${reason}\n`;
  res.writeHead(status, { ...headers, 'Content-Length': String(body.length) });
  res.end(body);
};
