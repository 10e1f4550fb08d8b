import type { GroupSpec, ServiceSpec, SiteEntry, SiteUpstream } from './site-types.js';
import type { EnginesReady, ServiceReady, VmTargets } from './stand-ins.js';

/** An upstream whose stand-in is running and whose agent hasn't been started yet. */
export interface UpstreamPlan {
  name: string;
  dataCentre: string;
  kind: 'model' | 'service';
  url: string;
  control: string;
  /** Labels in the VM list that say what the upstream serves. */
  labels: Record<string, string>;
  /** The agent's `upstream` settings. */
  upstream: Record<string, unknown>;
}

const rankNumbers = (engine: number, count: number): number[] =>
  Array.from({ length: count }, (_, index) => engine * count + index);

/** Defaults of the engine stand-in. */
const DEFAULT_LAYERS = 2;
const DEFAULT_EXPERTS = 64;
/** Slots for additional replicas of experts, in each layer of a rank. */
const SPARE_SLOTS = 4;
const EXPERT_BYTES = 65_536;
/** Shorter than in production, because a site of the lab only runs for seconds. */
const PLAN_INTERVAL_MS = 2_000;

const buildLayout = ({ engines, ranksPerEngine, flags = {} }: GroupSpec) => {
  const rankCount = engines * ranksPerEngine;
  const experts = Number(flags.experts ?? DEFAULT_EXPERTS);
  return {
    rankCount,
    layers: Number(flags.layers ?? DEFAULT_LAYERS),
    experts,
    slots: Math.ceil(experts / rankCount) + SPARE_SLOTS,
    bytesPerExpert: EXPERT_BYTES,
    planMs: PLAN_INTERVAL_MS,
  };
};

/** Plans the upstreams of an expert group, one for each engine. */
export const groupPlans = (spec: GroupSpec, ready: EnginesReady): UpstreamPlan[] =>
  ready.engines.map((url, index) => {
    const ranks = rankNumbers(index, spec.ranksPerEngine);
    return {
      name: `${spec.name}-${index + 1}`,
      dataCentre: spec.dataCentre,
      kind: 'model',
      url,
      control: ready.control,
      labels: { kind: 'model', model: spec.model, group: spec.name, ranks: ranks.join(',') },
      upstream: { kind: 'model', url, group: spec.name, ranks, layout: buildLayout(spec) },
    };
  });

/** Plans the upstreams of a plain service, one for each replica. */
export const servicePlans = (spec: ServiceSpec, replicas: ServiceReady[]): UpstreamPlan[] =>
  replicas.map((ready, index) => ({
    name: `${spec.name}-${index + 1}`,
    dataCentre: spec.dataCentre,
    kind: 'service',
    url: ready.url,
    control: ready.control,
    labels: { kind: 'service', service: spec.name },
    upstream: { kind: 'service', url: ready.url },
  }));

/** Returns an upstream's target group in the VM list. */
export const toUpstreamVm = (upstream: SiteUpstream, region: string): VmTargets => ({
  targets: [upstream.listed],
  labels: {
    vm: upstream.name,
    role: 'upstream',
    data_centre: upstream.dataCentre,
    region,
    state: upstream.state,
    ...upstream.labels,
  },
});

/** Returns an entry's target group in the VM list. */
export const toEntryVm = (entry: SiteEntry, region: string): VmTargets => ({
  targets: [entry.process.ready.link],
  labels: {
    vm: entry.name,
    role: 'entry',
    data_centre: entry.dataCentre,
    region,
    state: 'live',
  },
});
