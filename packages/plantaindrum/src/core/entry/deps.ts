import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';

/** Process-wide dependencies of an entry. */
export interface EntryDeps {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}
