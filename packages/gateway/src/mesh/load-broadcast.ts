/** Broadcasts this entry's requests in flight at the upstreams to the other entries: mostly changes, rarely in full. */

import type { WaitingCounts } from '@plantaindrum/admission';
import type { Clock } from '@plantaindrum/common';
import { isNumber, isObject } from '@plantaindrum/common';
import type { Upstream } from '../upstreams/upstream.js';

/** An entry's requests in flight, by the upstream's instance. */
export interface LoadUpdate {
  /** In a full update, upstreams that aren't named have no requests; otherwise their number is unchanged. */
  isWhole: boolean;
  counts: Readonly<Record<string, number>>;
  /**
   * All of its waiting requests. Without it their number is unchanged, or 0 in a full update, as in one of an older
   * version.
   */
  waiting?: WaitingCounts;
}

const isWaitingCounts = (value: unknown): boolean =>
  value === undefined ||
  (isObject(value) &&
    Object.values(value).every(
      (counts) =>
        isObject(counts) && Object.values(counts).every((count) => isNumber(count) && count >= 0),
    ));

/** Reads a load update; undefined when the value isn't one. */
export const readLoadUpdate = (value: unknown): LoadUpdate | undefined => {
  if (!isObject(value) || typeof value.isWhole !== 'boolean' || !isObject(value.counts)) {
    return undefined;
  }
  const areCountsValid = Object.values(value.counts).every((n) => typeof n === 'number');
  const isValid = areCountsValid && isWaitingCounts(value.waiting);
  return isValid ? (value as unknown as LoadUpdate) : undefined;
};

/** This entry's requests in flight, by the upstream's instance. */
export const inFlightCounts = (
  upstreams: readonly Pick<Upstream, 'record' | 'inFlight'>[],
): Map<string, number> =>
  new Map(
    upstreams
      .filter((upstream) => upstream.inFlight() > 0)
      .map((upstream) => [upstream.record.instance, upstream.inFlight()]),
  );

/** Broadcasts this entry's load as it changes. */
export interface LoadBroadcaster {
  /** Returns a full update, for a peer that is newly linked. */
  fullUpdate(): LoadUpdate;
  close(): void;
}

/** Options of the load broadcaster. */
export interface LoadBroadcasterOptions {
  /** Current requests in flight at each upstream; upstreams without any may be missing. */
  counts: () => ReadonlyMap<string, number>;
  /** Requests of this entry that wait for room, by service and priority; none by default. */
  waiting?: () => WaitingCounts;
  broadcast: (update: LoadUpdate) => void;
  clock: Clock;
}

/** Interval between broadcasts of changes, in ms: about one pass of a group. */
const BROADCAST_INTERVAL_MS = 60;
/**
 * Interval between full updates, in ms. They reach peers that had not listed an upstream yet when a change named it.
 * Sending changes takes a twentieth of the bytes of a full update every 60 ms.
 */
const FULL_UPDATE_INTERVAL_MS = 5_000;
/** Interval after which an unchanged number of waiting requests is repeated, in ms: peers forget it after 500 ms. */
const WAITING_REPEAT_MS = 240;

/** Starts to broadcast; runs until `close`. */
export const createLoadBroadcaster = ({
  counts,
  waiting = () => ({}),
  broadcast,
  clock,
}: LoadBroadcasterOptions): LoadBroadcaster => {
  let lastCounts: ReadonlyMap<string, number> = new Map();
  let lastFullUpdateAt = clock.monotonic();
  let lastWaiting = '{}';
  let waitingSentAt = -Infinity;
  let stopTimer = (): void => {};

  /** The waiting requests if the peers don't know them, or might have forgotten them. */
  const changedWaiting = (): Pick<LoadUpdate, 'waiting'> => {
    const current = waiting();
    const text = JSON.stringify(current);
    const isRepeatDue = text !== '{}' && clock.monotonic() - waitingSentAt >= WAITING_REPEAT_MS;
    if (text === lastWaiting && !isRepeatDue) return {};
    lastWaiting = text;
    waitingSentAt = clock.monotonic();
    return { waiting: current };
  };

  const changedCounts = (now: ReadonlyMap<string, number>): [string, number][] => [
    ...[...now].filter(([instance, n]) => lastCounts.get(instance) !== n),
    ...[...lastCounts.keys()]
      .filter((instance) => !now.has(instance))
      .map((instance): [string, number] => [instance, 0]),
  ];

  const createFullUpdate = (): LoadUpdate => {
    const update = { isWhole: true, counts: Object.fromEntries(counts()) };
    const current = waiting();
    return Object.keys(current).length === 0 ? update : { ...update, waiting: current };
  };

  const broadcastChanges = (): void => {
    const now = counts();
    const changes = changedCounts(now);
    const isFullUpdateDue = clock.monotonic() - lastFullUpdateAt > FULL_UPDATE_INTERVAL_MS;
    if (isFullUpdateDue) {
      lastFullUpdateAt = clock.monotonic();
      lastWaiting = JSON.stringify(waiting());
      broadcast(createFullUpdate());
    } else {
      const waitingNow = changedWaiting();
      if (changes.length > 0 || waitingNow.waiting) {
        broadcast({ isWhole: false, counts: Object.fromEntries(changes), ...waitingNow });
      }
    }
    lastCounts = now;
    stopTimer = clock.after(BROADCAST_INTERVAL_MS, broadcastChanges);
  };
  broadcastChanges();

  return { fullUpdate: createFullUpdate, close: () => stopTimer() };
};
