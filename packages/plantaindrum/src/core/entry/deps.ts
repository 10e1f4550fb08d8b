import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';

/** What an entry needs from its process. */
export interface EntryDeps {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}
