/** Remembers which services send answers without length or chunks. */

import type { Clock } from '@plantaindrum/common';

/** How the answers of services have been framed so far. */
export interface FramingHistory {
  record(service: string, isFramed: boolean): void;
  /** Whether answers without framing are to be expected: there were some lately, or none of any kind yet. */
  expectsUnframed(service: string): boolean;
}

/** Time for which an answer without framing is remembered, in ms. */
const MEMORY_MS = 30_000;

/** Creates an empty history. */
export const createFramingHistory = (clock: Clock): FramingHistory => {
  const unframedUntil = new Map<string, number>();
  return {
    record: (service, isFramed) => {
      if (!isFramed) unframedUntil.set(service, clock.monotonic() + MEMORY_MS);
      else if (!unframedUntil.has(service)) unframedUntil.set(service, -Infinity);
    },
    expectsUnframed: (service) => (unframedUntil.get(service) ?? Infinity) > clock.monotonic(),
  };
};
