import type { Random } from '@plantaindrum/common';
import { modelQueues } from './overload-queues.js';
import type { OverloadFigures, OverloadScenario } from './overload-run.js';
import { runOverloadScenario } from './overload-run.js';
import type { TrafficOptions } from './routing-traffic.js';
import { flooded, MODEL_CLASSES, ORGANISATIONS } from './routing-traffic.js';
import type { ExperimentOptions } from './table.js';

/** Requests a second that the modelled upstream serves when it never idles. */
const CAPACITY = 13;
const equal = (random: Random): number => Math.floor(random() * ORGANISATIONS);

/** Organisation 0 floods with one class, the others send all classes alike. */
const floodWith = (name: string): TrafficOptions => ({
  organisation: flooded,
  classOf: (organisation, random) => {
    const any = MODEL_CLASSES[Math.floor(random() * MODEL_CLASSES.length)]!;
    return organisation === 0 ? MODEL_CLASSES.find((known) => known.name === name)! : any;
  },
});

type Scenario = Pick<OverloadScenario, 'perSecond' | 'traffic'>;

const scenarios: Record<string, Scenario> = {
  'load 0.9': { perSecond: 0.9 * CAPACITY, traffic: { organisation: equal } },
  'three times capacity': { perSecond: 3 * CAPACITY, traffic: { organisation: equal } },
  'three times, one floods': { perSecond: 3 * CAPACITY, traffic: { organisation: flooded } },
  'three times, one floods with live': {
    perSecond: 3 * CAPACITY,
    traffic: floodWith('live-summary'),
  },
  'three times, one floods with replies': {
    perSecond: 3 * CAPACITY,
    traffic: floodWith('reply'),
  },
};

const line = (name: string, figures: OverloadFigures): string => {
  const { refusedAfterMs, firstTokenMs } = figures;
  const classes = (shares: Record<string, number>) =>
    Object.entries(shares)
      .map(([key, share]) => `${key} ${share.toFixed(3)}`)
      .join(', ');
  return [
    name.padEnd(20),
    `goodput ${figures.goodput.toFixed(0)}`,
    `served in time ${figures.servedInTime.toFixed(3)}`,
    `within target: ${classes(figures.withinTarget)}`,
    `of the others: ${classes(figures.withinTargetOthers)}`,
    `fair ${figures.fairness.toFixed(3)}`,
    `refused after p50 ${refusedAfterMs.p50} p95 ${refusedAfterMs.p95} ms`,
    `first token p95 ${firstTokenMs.p95} ms`,
  ].join('  ');
};

/** Compares queues before one upstream under overload; the decision code is the product's own. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const seconds = options.quick ? 30 : 240;
  const results: Record<string, Record<string, OverloadFigures>> = {};
  Object.entries(scenarios).forEach(([scenarioName, scenario]) => {
    options.print(`${scenarioName}:`);
    const figures = Object.entries(modelQueues).map(([name, createQueue]) => {
      const result = runOverloadScenario({
        ...scenario,
        seed: options.seed,
        seconds,
        organisations: ORGANISATIONS,
        createQueue,
      });
      options.print(`  ${line(name, result)}`);
      return [name, result] as const;
    });
    results[scenarioName] = Object.fromEntries(figures);
  });
  return { experiment: 'overload', seed: options.seed, seconds, scenarios: results };
};
