import type { Refusal } from '@plantaindrum/common';
import type { RequestClass, RequestTarget } from '../callers/identify.js';

/** A request with its organisation, class and target. */
export interface EntryRequest {
  organisation: string;
  class: RequestClass;
  target: RequestTarget;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  idempotencyKey?: string;
  /** Monotonic time of arrival, in milliseconds. */
  arrivedAt: number;
}

/** How a request ended. */
export type RequestEnd =
  { outcome: 'answered' } | { outcome: 'refused'; refusal: Refusal } | { outcome: 'caller-gone' };
