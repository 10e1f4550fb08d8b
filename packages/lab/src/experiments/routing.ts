import type { RouterOptions } from '@plantaindrum/requests';
import { createRouter } from '@plantaindrum/requests';
import {
  createLaggedPolicy,
  createRandomPolicy,
  createRoundRobinPolicy,
} from './routing-policies.js';
import type { RoutingPolicy } from './routing-policies.js';
import type { PolicyContext, RoutingScenario } from './routing-run.js';
import { runRoutingScenario } from './routing-run.js';
import type { RunFigures } from './routing-figures.js';
import { flooded } from './routing-traffic.js';
import type { ExperimentOptions } from './table.js';

type CreatePolicy = (context: PolicyContext) => RoutingPolicy;

const ours =
  (change: Partial<RouterOptions> = {}, adjust: Partial<RoutingPolicy> = {}): CreatePolicy =>
  ({ clock, random, self, entries, upstreams }) => {
    const router = createRouter({ clock, random, self, ...change });
    router.setEntries(entries);
    router.setUpstreams(upstreams);
    return { ...router, ...adjust };
  };

const idsOf = ({ upstreams }: PolicyContext) => upstreams.map(({ id }) => id);

/** Baselines first, then the router and the router with one part taken out or changed. */
const policies: Record<string, CreatePolicy> = {
  random: (context) => createRandomPolicy(idsOf(context), context.random),
  'round-robin': (context) => createRoundRobinPolicy(idsOf(context)),
  'least-lagged': (context) => createLaggedPolicy(idsOf(context), context.random),
  ours: ours(),
  'ours, no affinity': ours({ affinityBound: 0 }),
  'ours, bound 2': ours({ affinityBound: 2 }),
  'ours, no fresh load': ours({}, { recordLoad: () => {} }),
  'ours, no ejection': ours({}, { updateHealth: () => [] }),
  'neither fresh load nor ejection': ours({}, { recordLoad: () => {}, updateHealth: () => [] }),
};

const smallSite = [
  { dataCentre: 'kent', upstreams: 6, entries: 1 },
  { dataCentre: 'lynnwood', upstreams: 5, entries: 1 },
  { dataCentre: 'vancouver', upstreams: 5, entries: 1 },
];

type Scenario = Omit<RoutingScenario, 'seed' | 'createPolicy' | 'seconds'>;

const scenarios: Record<string, Scenario> = {
  'load 0.6': { utilization: 0.6, sites: smallSite },
  'load 0.9': { utilization: 0.9, sites: smallSite },
  'slow upstream': { utilization: 0.7, sites: smallSite, slowFactor: 8 },
  'slow upstream, little load': { utilization: 0.2, sites: smallSite, slowFactor: 8 },
  'stuck upstream': { utilization: 0.7, sites: smallSite, slowFactor: 1_000_000 },
  'three times, one floods': {
    utilization: 3,
    sites: smallSite,
    traffic: { organisation: flooded },
  },
  'large site': {
    utilization: 0.8,
    sites: [{ dataCentre: 'large', upstreams: 96, entries: 12 }],
  },
};

const line = (name: string, figures: RunFigures): string => {
  const { firstTokenMs, withinTarget, prefixHits, fairness, retriesPerRequest } = figures;
  const { p50, p95, p99 } = firstTokenMs;
  const classes = Object.entries(withinTarget).map(([key, share]) => `${key} ${share.toFixed(3)}`);
  return [
    name.padEnd(32),
    `p50 ${p50} p95 ${p95} p99 ${p99} ms`.padEnd(32),
    `in time ${figures.withinTargetAll.toFixed(3)} (${classes.join(', ')})`,
    `hits ${prefixHits.toFixed(3)}`,
    `fair ${fairness.toFixed(3)}`,
    `least share ${figures.leastShare.toFixed(3)}`,
    `retries ${retriesPerRequest.toFixed(3)}`,
    `ejections ${figures.ejections}`,
  ].join('  ');
};

/** Compares routing policies on a model of queues; the decision code is the product's own. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const seconds = options.quick ? 10 : 60;
  const results: Record<string, Record<string, RunFigures>> = {};
  Object.entries(scenarios).forEach(([scenarioName, scenario]) => {
    options.print(`${scenarioName}:`);
    const figures = Object.entries(policies).map(([name, createPolicy]) => {
      const result = runRoutingScenario({ ...scenario, seed: options.seed, seconds, createPolicy });
      options.print(`  ${line(name, result)}`);
      return [name, result] as const;
    });
    results[scenarioName] = Object.fromEntries(figures);
  });
  return { experiment: 'routing', seed: options.seed, seconds, scenarios: results };
};
