/** What entries tell each other of the rate limits that upstreams advertise. */

import { isNumber, isObject } from '@plantaindrum/common';
import { readList } from './read-list.js';

/** An upstream has advertised a limit, or cleared it. */
export interface AdvertisedLimit {
  instance: string;
  /** Which of its starts; see `UpstreamStart`. */
  startedAt: number;
  /** Requests a second from all entries together; null: none any more. */
  perSecond: number | null;
}

/** Requests that were sent to an upstream with a limit. */
export interface SentRequests {
  instance: string;
  startedAt: number;
  requests: number;
}

/** One note to a peer. */
export interface RateNews {
  limits: AdvertisedLimit[];
  sent: SentRequests[];
}

/** Most entries of each kind in one note: a bound on what a peer can make this entry do. */
const MOST_IN_NOTE = 1_024;

const isAmount = (value: unknown): boolean => isNumber(value) && value >= 0;

const isOfStart = ({ instance, startedAt }: Record<string, unknown>): boolean =>
  typeof instance === 'string' && isAmount(startedAt);

const listOf = <Entry>(
  value: unknown,
  isSound: (entry: Record<string, unknown>) => boolean,
): Entry[] | undefined =>
  readList(value, MOST_IN_NOTE, (entry) => isOfStart(entry) && isSound(entry));

/** Reads a note; undefined when it isn't one. */
export const readRateNews = (value: unknown): RateNews | undefined => {
  if (!isObject(value)) return undefined;
  const limits = listOf<AdvertisedLimit>(
    value.limits,
    ({ perSecond }) => perSecond === null || isAmount(perSecond),
  );
  const sent = listOf<SentRequests>(value.sent, ({ requests }) => isAmount(requests));
  return limits && sent && { limits, sent };
};
