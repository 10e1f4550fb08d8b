/** What entries tell each other of their requests at the upstreams: what changed, seldom the whole. */

import type { Clock } from '@plantaindrum/common';
import { isObject } from '@plantaindrum/common';

/** Requests of an entry at upstreams, by the upstream's instance. */
export interface LoadShare {
  /** Whether upstreams that aren't named have none; else they have as many as before. */
  isWhole: boolean;
  counts: Readonly<Record<string, number>>;
}

/** Reads a share; undefined when it isn't one. */
export const readShare = (value: unknown): LoadShare | undefined => {
  if (!isObject(value) || typeof value.isWhole !== 'boolean' || !isObject(value.counts)) {
    return undefined;
  }
  const isSound = Object.values(value.counts).every((n) => typeof n === 'number');
  return isSound ? (value as unknown as LoadShare) : undefined;
};

/** Tells this entry's load as it changes. */
export interface LoadTeller {
  /** The whole of the load, for a peer that is newly linked. */
  whole(): LoadShare;
  close(): void;
}

/** Options of `createLoadTeller`. */
export interface LoadTellerOptions {
  /** Requests at each upstream now; those without any may be left out. */
  counts: () => ReadonlyMap<string, number>;
  tell: (share: LoadShare) => void;
  clock: Clock;
}

/** Changes are told this often, in ms: about one pass of a group. */
const TELL_MS = 60;
/**
 * The whole is told again after this long, in ms, for peers that had not listed an upstream yet when
 * it was named. Changes alone are a twentieth of the bytes that the whole was every 60 ms.
 */
const WHOLE_MS = 5_000;

/** Starts to tell; runs until `close`. */
export const createLoadTeller = ({ counts, tell, clock }: LoadTellerOptions): LoadTeller => {
  let told: ReadonlyMap<string, number> = new Map();
  let wholeAt = clock.monotonic();
  let stopTimer = (): void => {};

  const changesSince = (now: ReadonlyMap<string, number>): [string, number][] => [
    ...[...now].filter(([instance, n]) => told.get(instance) !== n),
    ...[...told.keys()]
      .filter((instance) => !now.has(instance))
      .map((instance): [string, number] => [instance, 0]),
  ];

  const whole = (): LoadShare => ({ isWhole: true, counts: Object.fromEntries(counts()) });

  const look = (): void => {
    const now = counts();
    const changes = changesSince(now);
    const isWholeDue = clock.monotonic() - wholeAt > WHOLE_MS;
    if (isWholeDue) {
      wholeAt = clock.monotonic();
      tell(whole());
    } else if (changes.length > 0) {
      tell({ isWhole: false, counts: Object.fromEntries(changes) });
    }
    told = now;
    stopTimer = clock.after(TELL_MS, look);
  };
  look();

  return { whole, close: () => stopTimer() };
};
