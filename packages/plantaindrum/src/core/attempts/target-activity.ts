import type { Clock } from '@plantaindrum/common';
import type { RequestTarget } from '../callers/identify.js';

/** When answers of each model or service last made progress. */
export interface TargetActivity {
  record(target: RequestTarget): void;
  /** Milliseconds since the last progress of any answer. */
  quietMs(target: RequestTarget): number;
}

const nameOf = (target: RequestTarget): string =>
  target.kind === 'model' ? `model ${target.model}` : `service ${target.service}`;

/** Creates a record without any progress. */
export const createTargetActivity = (clock: Clock): TargetActivity => {
  const lastAt = new Map<string, number>();
  return {
    record: (target) => {
      lastAt.set(nameOf(target), clock.monotonic());
    },
    quietMs: (target) => clock.monotonic() - (lastAt.get(nameOf(target)) ?? -Infinity),
  };
};
