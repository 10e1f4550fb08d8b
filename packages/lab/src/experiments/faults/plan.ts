/** Which faults happen when: decided before the run, by a seed. */
import { createSeededRandom } from '@plantaindrum/common';

/** What a fault strikes. */
export type FaultTarget = 'agent' | 'entry' | 'link' | 'log' | 'vm-list' | 'engine' | 'service';

/** Every fault, by what it strikes. */
export const faultKinds = {
  agent: ['agent-killed', 'agent-frozen', 'coordinator-frozen', 'agent-left'],
  entry: ['entry-killed', 'entry-frozen', 'entry-left'],
  link: ['link-cut', 'link-refused', 'link-held', 'link-half-open'],
  log: ['log-outage', 'log-appends-out', 'log-slow', 'log-answers-lost', 'log-silent'],
  'vm-list': ['vm-list-lags', 'vm-list-out'],
  engine: [
    'engine-frozen',
    'engine-breaks-streams',
    'engine-refuses',
    'engine-slow',
    'engine-loses-orders',
    'engine-orders-twice',
  ],
  service: [
    'service-resets-before',
    'service-resets-after',
    'service-breaks-off',
    'service-holds',
    'service-out',
  ],
} as const satisfies Record<FaultTarget, readonly string[]>;

/** Name of a fault. */
export type FaultKind = (typeof faultKinds)[FaultTarget][number];

/** One fault of a plan. */
export interface PlannedFault {
  atMs: number;
  /** Until it is mended; processes are replaced then. */
  lastsMs: number;
  target: FaultTarget;
  kind: FaultKind;
  /** Picks one of several upstreams, entries, engines or replicas. */
  pick: number;
}

/** How many of each there are in the site; overlapping faults strike different ones. */
const COUNTS: Record<FaultTarget, number> = {
  agent: 8,
  entry: 1,
  link: 8,
  log: 1,
  'vm-list': 1,
  engine: 4,
  service: 4,
};

/** Size of a plan. */
export interface FaultPlanOptions {
  seed: number;
  /** From and to which time faults begin, in milliseconds. */
  fromMs: number;
  toMs: number;
}

const LEAST_MS = 300;
const MOST_MS = 5_000;
/** Mean time between the beginnings of two faults: several are under way at any time. */
const MEAN_GAP_MS = 450;
/** What a struck part needs after its mending before it may be struck again. */
const REST_MS = 1_500;

const pickOf = <T>(random: () => number, list: readonly T[]): T =>
  list[Math.floor(random() * list.length)] as T;

/** Plans the faults; the same seed gives the same plan. */
export const planFaults = ({ seed, fromMs, toMs }: FaultPlanOptions): PlannedFault[] => {
  const random = createSeededRandom(seed);
  const targets = Object.keys(faultKinds) as FaultTarget[];
  const busyUntil = new Map<string, number>();
  const plan: PlannedFault[] = [];
  const gap = (): number => -Math.log(1 - random()) * MEAN_GAP_MS;
  for (let atMs = fromMs + gap(); atMs < toMs; atMs += gap()) {
    const target = pickOf(random, targets);
    const fault = {
      atMs: Math.round(atMs),
      lastsMs: Math.round(LEAST_MS + random() ** 2 * (MOST_MS - LEAST_MS)),
      target,
      kind: pickOf(random, faultKinds[target]),
      pick: random(),
    };
    const struck = `${target} ${Math.floor(fault.pick * COUNTS[target])}`;
    if (atMs < (busyUntil.get(struck) ?? 0)) continue;
    busyUntil.set(struck, atMs + fault.lastsMs + REST_MS);
    plan.push(fault);
  }
  return plan;
};
