import type { Refusal } from '@plantaindrum/common';
import type { RequestClass, RequestTarget } from '../callers/identify.js';

/** A request that has an organisation, a class and a target. */
export interface EntryRequest {
  organisation: string;
  class: RequestClass;
  target: RequestTarget;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  idempotencyKey?: string;
  /** Clock's monotonic time of arrival, in milliseconds. */
  arrivedAt: number;
}

/** How a request ended. */
export type RequestEnd =
  { outcome: 'answered' } | { outcome: 'refused'; refusal: Refusal } | { outcome: 'caller-gone' };
