/** Refusals: the error responses that the entry itself sends. */

import type { ServerResponse } from 'node:http';
import { abortResponse } from '@plantaindrum/common';
import { endAfterBody } from './end-after-body.js';
import type { QuarantineRefusal } from '../quarantine/index.js';
import type { RefusalReason, ServiceWait, ServingDeps } from './types.js';

/** An error response by the entry. */
export interface Refusal {
  reason: RefusalReason;
  status: 400 | 401 | 404 | 413 | 502 | 503 | 504;
  /** For 503: when the caller may retry, in milliseconds. */
  retryAfterMs?: number;
}

/** Delay before a caller retries at a full service, in ms: other requests end within a second. */
const FULL_RETRY_DELAY = { minMs: 250, spreadMs: 700 };
/**
 * Delay while a group re-forms (which takes 600 ms) or this entry has just started, in ms. Callers retry once; with a
 * delay of half a second most of them were refused again for the same reason.
 */
const FORMING_RETRY_DELAY = { minMs: 900, spreadMs: 1_300 };
/** Delay before a caller retries at another entry, in ms; short, as that entry can serve it at once. */
const STOPPING_RETRY_DELAY = { minMs: 10, spreadMs: 90 };
/** Reasons that apply while a group re-forms, an entry starts or a data centre is evacuated: others won't end them. */
const FORMING_REASONS: ReadonlySet<RefusalReason> = new Set([
  'upstreams-refusing',
  'group-closed',
  'no-upstream',
  'evacuated',
  'no-intent',
  'intent-outdated',
]);

const MS_PER_SECOND = 1_000;
/** Delay before a caller retries a request with a part that crashes upstreams, in ms: the evidence lasts this long. */
const PART_RETRY_DELAY_MS = 600_000;

const retryDelayFor = (reason: RefusalReason): { minMs: number; spreadMs: number } => {
  if (reason === 'stopping') return STOPPING_RETRY_DELAY;
  return FORMING_REASONS.has(reason) ? FORMING_RETRY_DELAY : FULL_RETRY_DELAY;
};

/**
 * Creates the refusal of a request that has not run and won't: the caller may retry. A retry within `waitMs`
 * milliseconds would be refused again.
 */
export const notRun = (reason: RefusalReason, random: () => number, waitMs = 0): Refusal => {
  const { minMs, spreadMs } = retryDelayFor(reason);
  // Spread over the interval, so that callers that are refused together don't retry together.
  return { reason, status: 503, retryAfterMs: Math.max(minMs, waitMs) + random() * spreadMs };
};

/** Creates the refusal of a request that can't wait until its service is available; undefined if it is sent. */
export const heldRefusal = (held: ServiceWait, random: () => number): Refusal | undefined => {
  if (held.outcome !== 'refused') return undefined;
  const { reason, retryAfterMs } = held;
  const refusal = notRun(reason, random);
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
};

/** Creates the refusal of a request that has crashed upstreams, or is suspected to have. */
export const quarantineRefusal = (refusal: QuarantineRefusal, random: () => number): Refusal => {
  const { reason } = refusal;
  if (reason === 'crash-suspect') return notRun(reason, random);
  const retryAfterMs =
    reason === 'quarantined'
      ? refusal.retryAfterMs
      : PART_RETRY_DELAY_MS + random() * MS_PER_SECOND;
  return { reason, status: 503, retryAfterMs };
};

/** Creates the refusal of a request that may have run: its status doesn't claim that it has not run. */
export const mayHaveRun = (reason: RefusalReason): Refusal => ({
  reason,
  status: reason === 'deadline' ? 504 : 502,
});

/** Fields that a refusal is logged with. */
export interface RefusalContext {
  id: string | undefined;
  route: string | undefined;
  /** Milliseconds from the request's arrival to the refusal. */
  heldMs: number;
  attempts: number;
  /** Values that decided, for example a load or an age. */
  inputs?: Record<string, string | number | boolean | undefined>;
}

/** Sends a refusal, counts it and logs the values that decided. */
export const refuse = (
  res: ServerResponse,
  refusal: Refusal,
  context: RefusalContext,
  deps: Pick<ServingDeps, 'clock' | 'metrics' | 'log' | 'lifecycle'>,
): void => {
  const { reason, status, retryAfterMs } = refusal;
  const { inputs, ...request } = context;
  deps.metrics.count('gateway_refused', { reason });
  deps.log.event('refused', { ...request, reason, status, retryAfterMs, ...inputs });
  if (res.headersSent || res.destroyed) {
    abortResponse(res);
    return;
  }
  const headers: Record<string, string> = { 'Content-Type': 'text/plain' };
  if (retryAfterMs !== undefined) {
    headers['Retry-After'] = (retryAfterMs / MS_PER_SECOND).toFixed(2);
  }
  if (deps.lifecycle.isStopping()) headers.Connection = 'close';
  const body = `${reason}\n`;
  res.writeHead(status, { ...headers, 'Content-Length': String(body.length) });
  endAfterBody(res, body, deps.clock);
};
