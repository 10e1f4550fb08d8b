import { operatorRefusals } from './operator-errors.js';
import {
  capacityRefusals,
  repeatRefusals,
  requestRefusals,
  unknownRefusals,
} from './request-refusals.js';
import type { ErrorData, RefusalEntry, RefusalOutcome } from './types.js';

const catalogue = {
  ...requestRefusals,
  ...repeatRefusals,
  ...capacityRefusals,
  ...unknownRefusals,
  ...operatorRefusals,
};

/** Every reason for which a request can be refused or end without a complete response. */
export type RefusalReason = keyof typeof catalogue;

/** The catalogue of refusals, by reason. */
export const refusals: Readonly<Record<RefusalReason, RefusalEntry>> = catalogue;

/** Whether a string is a reason in the catalogue; peers of another version may send others. */
export const isRefusalReason = (text: string): text is RefusalReason =>
  Object.hasOwn(catalogue, text);

/** One refusal of a request. */
export interface Refusal {
  reason: RefusalReason;
  /** Defaults to the outcome in the catalogue; set `not-run` only with proof that nothing ran. */
  outcome?: RefusalOutcome;
  /** Delay before a retry, in milliseconds; default 1000. */
  retryAfterMs?: number;
  data?: ErrorData;
}

/** The JSON body of a refusal, also the data of a stream's `error` event. */
export interface RefusalBody {
  error: {
    type: 'refusal';
    reason: RefusalReason;
    outcome: RefusalOutcome;
    title: string;
    message: string;
    hint: string;
    retry_after_ms: number;
  };
}

const DEFAULT_RETRY_AFTER_MS = 1_000;
const NOT_RUN_STATUS = 503;
const UNKNOWN_STATUS = 502;

const outcomeOf = ({ reason, outcome }: Refusal): RefusalOutcome =>
  outcome ?? refusals[reason].outcome;

const retryAfterMsOf = ({ retryAfterMs = DEFAULT_RETRY_AFTER_MS }: Refusal): number =>
  Number.isFinite(retryAfterMs) ? Math.max(0, Math.ceil(retryAfterMs)) : DEFAULT_RETRY_AFTER_MS;

/**
 * HTTP status of a refusal. If the outcome differs from the catalogue's, the general status of that
 * outcome is used, so that a caller who reads only the status never takes an unknown outcome for not run.
 */
export const refusalStatus = (refusal: Refusal): number => {
  const entry = refusals[refusal.reason];
  const outcome = outcomeOf(refusal);
  if (outcome === entry.outcome) return entry.status;
  return outcome === 'unknown' ? UNKNOWN_STATUS : NOT_RUN_STATUS;
};

/** The JSON body of a refusal. */
export const refusalBody = (refusal: Refusal): RefusalBody => {
  const { title, message, hint } = refusals[refusal.reason];
  return {
    error: {
      type: 'refusal',
      reason: refusal.reason,
      outcome: outcomeOf(refusal),
      title,
      message: message(refusal.data ?? {}),
      hint,
      retry_after_ms: retryAfterMsOf(refusal),
    },
  };
};

/** The headers of a refusal; `Retry-After` is in whole seconds, at least 1 (RFC 9110). */
export const refusalHeaders = (refusal: Refusal): Record<string, string> => ({
  'content-type': 'application/json; charset=utf-8',
  'x-plantaindrum-outcome': outcomeOf(refusal),
  'x-plantaindrum-reason': refusal.reason,
  'retry-after': String(Math.max(1, Math.ceil(retryAfterMsOf(refusal) / 1_000))),
});

/** The server-sent event that ends a stream which cannot be completed. */
export const refusalEvent = (refusal: Refusal): string =>
  `event: error\ndata: ${JSON.stringify(refusalBody(refusal))}\n\n`;
