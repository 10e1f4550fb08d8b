/** States of the log under which the spread of a change is measured. */

import type { PlatformFaults } from '@plantaindrum/stand-ins';

/** One state of the log. */
export interface Scenario {
  name: string;
  /** Faults for a fleet of the given nodes; the change is made at the first, which is spared. */
  faults: (names: string[]) => Partial<PlatformFaults>;
  /** The log goes down for all when the change has been accepted, for so long. */
  outageAfterMs?: number;
}

const NO_FAULTS: Partial<PlatformFaults> = { outage: 'none', delayMs: 0, cutClients: [] };

/** Time by which a slow log answers later, in milliseconds. */
const SLOW_MS = 400;
const OUTAGE_MS = 3_000;

/** Every scenario, in the order of the report. */
export const scenarios: Scenario[] = [
  { name: 'well', faults: () => NO_FAULTS },
  { name: 'slow', faults: () => ({ ...NO_FAULTS, delayMs: SLOW_MS }) },
  {
    name: 'down-for-half',
    faults: (names) => ({
      ...NO_FAULTS,
      cutClients: names.filter((_, index) => index % 2 === 1),
    }),
  },
  {
    name: 'down-for-all-but-one',
    faults: (names) => ({ ...NO_FAULTS, cutClients: names.slice(1) }),
  },
  {
    name: 'down-for-all-after',
    faults: (names) => ({ ...NO_FAULTS, cutClients: names.slice(1) }),
    outageAfterMs: OUTAGE_MS,
  },
];
