import type { Refusal } from '@plantaindrum/common';
import type { RequestClass, Target } from '../callers/identify.js';
import type { Upstream } from '../upstreams/upstream.js';

/** A request that has an organisation, a class and a target. */
export interface EntryRequest {
  organisation: string;
  class: RequestClass;
  target: Target;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  idempotencyKey?: string;
  /** Clock's monotonic time of arrival, in milliseconds. */
  arrivedAt: number;
}

/** Chooses an upstream that has not been tried for this request. */
export type ChooseUpstream = (
  request: EntryRequest,
  tried: ReadonlySet<Upstream>,
) => Upstream | undefined;

/** Allows a retry, or says that too many recent requests have been retried. */
export interface RetryBudget {
  onRequest(): void;
  take(): boolean;
}

/** How a request ended. */
export type RequestEnd =
  { outcome: 'answered' } | { outcome: 'refused'; refusal: Refusal } | { outcome: 'caller-gone' };
