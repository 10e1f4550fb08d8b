import type { GroupSpec, ServiceSpec, SiteEntry, SiteUpstream } from './site-types.js';
import type { EnginesReady, ServiceReady, VmTargets } from './stand-ins.js';

/** An upstream whose stand-in runs and whose agent is still to be started. */
export interface UpstreamPlan {
  name: string;
  dataCentre: string;
  kind: 'model' | 'service';
  url: string;
  control: string;
  /** Labels in the VM list that tell what the upstream serves. */
  labels: Record<string, string>;
  /** The agent's `upstream` settings. */
  upstream: Record<string, unknown>;
}

const rankNumbers = (engine: number, count: number): number[] =>
  Array.from({ length: count }, (_, index) => engine * count + index);

/** The stand-in's own defaults. */
const LAYERS = 2;
const EXPERTS = 64;
/** Room for replicas beyond one of each expert, in each layer of a rank. */
const SPARE_SLOTS = 4;
const EXPERT_BYTES = 65_536;
/** A site of the lab lives for seconds, so its groups are looked at more often than real ones. */
const PLAN_MS = 2_000;

const layoutOf = ({ engines, ranksPerEngine, flags = {} }: GroupSpec) => {
  const rankCount = engines * ranksPerEngine;
  const experts = Number(flags.experts ?? EXPERTS);
  return {
    rankCount,
    layers: Number(flags.layers ?? LAYERS),
    experts,
    slots: Math.ceil(experts / rankCount) + SPARE_SLOTS,
    bytesPerExpert: EXPERT_BYTES,
    planMs: PLAN_MS,
  };
};

/** The upstreams of an expert group, one for each engine. */
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
      upstream: { kind: 'model', url, group: spec.name, ranks, layout: layoutOf(spec) },
    };
  });

/** The upstreams of a plain service, one for each replica. */
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

/** An upstream's line in the VM list. */
export const vmOfUpstream = (upstream: SiteUpstream, region: string): VmTargets => ({
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

/** An entry's line in the VM list. */
export const vmOfEntry = (entry: SiteEntry, region: string): VmTargets => ({
  targets: [entry.process.ready.link],
  labels: {
    vm: entry.name,
    role: 'entry',
    data_centre: entry.dataCentre,
    region,
    state: 'live',
  },
});
