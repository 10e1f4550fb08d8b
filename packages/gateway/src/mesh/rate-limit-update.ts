/** Updates that entries broadcast about the rate limits that upstreams advertise. */

import { isNumber, isObject } from '@plantaindrum/common';
import { readList } from './read-list.js';

/** A rate limit that an upstream has advertised or cleared. */
export interface AdvertisedLimit {
  instance: string;
  /** Identifies one start of the upstream; see `UpstreamStart`. */
  startedAt: number;
  /** Requests per second from all entries together; null when the limit was cleared. */
  perSecond: number | null;
}

/** Requests that an entry has sent to an upstream with a limit. */
export interface SentRequests {
  instance: string;
  startedAt: number;
  requests: number;
}

/** An upstream that is cold. */
export interface ColdUpstream {
  instance: string;
  startedAt: number;
  /** Remaining time of its warm-up, in milliseconds. */
  leftMs: number;
}

/** Content of one note to a peer. */
export interface RateLimitUpdate {
  limits: AdvertisedLimit[];
  sent: SentRequests[];
  cold?: ColdUpstream[];
  /** Requests to cold upstreams that were taken from the shared pool. */
  coldSent?: SentRequests[];
}

/** Max list entries of each kind in one note: bounds the work that a peer can cause here. */
const MAX_PER_NOTE = 1_024;

const isNonNegative = (value: unknown): boolean => isNumber(value) && value >= 0;

const namesUpstreamStart = ({ instance, startedAt }: Record<string, unknown>): boolean =>
  typeof instance === 'string' && isNonNegative(startedAt);

const readEntries = <Entry>(
  value: unknown,
  isValid: (entry: Record<string, unknown>) => boolean,
): Entry[] | undefined =>
  readList(value, MAX_PER_NOTE, (entry) => namesUpstreamStart(entry) && isValid(entry));

/** Reads a rate limit update; undefined when the value isn't one. */
export const readRateLimitUpdate = (value: unknown): RateLimitUpdate | undefined => {
  if (!isObject(value)) return undefined;
  const limits = readEntries<AdvertisedLimit>(
    value.limits,
    ({ perSecond }) => perSecond === null || isNonNegative(perSecond),
  );
  const readSent = (list: unknown): SentRequests[] | undefined =>
    readEntries<SentRequests>(list, ({ requests }) => isNonNegative(requests));
  const sent = readSent(value.sent);
  // Absent in updates without cold upstreams.
  const coldSent = readSent(value.coldSent ?? []);
  const cold = readEntries<ColdUpstream>(value.cold ?? [], ({ leftMs }) => isNonNegative(leftMs));
  return limits && sent && coldSent && cold && { limits, sent, coldSent, cold };
};
