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

/** Every reason for which a request can be refused or left without a whole answer. */
export type RefusalReason = keyof typeof catalogue;

/** The catalogue of refusals, by reason. */
export const refusals: Readonly<Record<RefusalReason, RefusalEntry>> = catalogue;

/** Whether a text, for example from a peer of another version, is a reason of the catalogue. */
export const isRefusalReason = (text: string): text is RefusalReason =>
  Object.hasOwn(catalogue, text);

/** One refusal as it happened. */
export interface Refusal {
  reason: RefusalReason;
  /** Left out, it is the catalogue's; `not-run` needs a proof that nothing ran. */
  outcome?: RefusalOutcome;
  /** Time after which a repeat makes sense, in milliseconds; default 1000. */
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
const STATUS_NOT_RUN = 503;
const STATUS_UNKNOWN = 502;

const outcomeOf = ({ reason, outcome }: Refusal): RefusalOutcome =>
  outcome ?? refusals[reason].outcome;

const retryAfterMsOf = ({ retryAfterMs = DEFAULT_RETRY_AFTER_MS }: Refusal): number =>
  Number.isFinite(retryAfterMs) ? Math.max(0, Math.ceil(retryAfterMs)) : DEFAULT_RETRY_AFTER_MS;

/**
 * HTTP status of a refusal. An outcome other than the catalogue's takes the general status of that
 * outcome, so that a caller who reads only the status never mistakes unknown for not run.
 */
export const refusalStatus = (refusal: Refusal): number => {
  const entry = refusals[refusal.reason];
  const outcome = outcomeOf(refusal);
  if (outcome === entry.outcome) return entry.status;
  return outcome === 'unknown' ? STATUS_UNKNOWN : STATUS_NOT_RUN;
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

/** The last event of a stream that cannot be finished (server-sent events). */
export const refusalEvent = (refusal: Refusal): string =>
  `event: error\ndata: ${JSON.stringify(refusalBody(refusal))}\n\n`;
