/** The status document of an entry. */

import type { EntrySettings, Metrics, Refusal } from '@plantaindrum/common';
import type { IntentFreshness, IntentReader, NodeDuty } from '@plantaindrum/intent';
import { nodeDuty } from '@plantaindrum/intent';
import type { UpstreamDirectory } from '../upstreams/directory.js';
import type { EntryRouter } from '../routing/entry-router.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { ClassStatus, ClassTargets } from './class-targets.js';

/** One upstream in `status`. */
export interface UpstreamSummary {
  name: string;
  dataCentre: string;
  serves: string;
  group?: string;
  linked: boolean;
  leaving: boolean;
  /** Health in the router: in full service, ejected (slow or silent), or being readmitted. */
  health: string;
  /** Requests of this entry in flight at the upstream. */
  outstanding: number;
  queued?: number;
  running?: number;
  drainPerSecond?: number;
}

/** One expert group in `status`. */
export interface GroupSummary {
  name: string;
  upstreams: number;
  linked: number;
}

/** One organisation's traffic since the start of the process. */
export interface OrganisationSummary {
  name: string;
  answered: number;
  refused: number;
  gone: number;
}

/** The document of `GET /status`. */
export interface EntryStatus {
  node: { name: string; dataCentre: string; region: string; role: 'entry'; instance: string };
  ready: boolean;
  /** Why it is not ready. */
  reason?: string;
  /** What the state of its data centre requires of the node. */
  duty: NodeDuty;
  inFlight: number;
  intent: { offset: number; freshness: IntentFreshness };
  dataCentres: { name: string; state: string }[];
  classes: ClassStatus[];
  organisations: OrganisationSummary[];
  upstreams: UpstreamSummary[];
  groups: GroupSummary[];
}

/** Sources of the status document. */
export interface EntryStatusOptions {
  node: EntrySettings['node'];
  instance: string;
  intent: IntentReader;
  directory: UpstreamDirectory;
  router: Pick<EntryRouter, 'status'>;
  targets: ClassTargets;
  metrics: Metrics;
  inFlight: () => number;
  /** Whether the VM is being removed. */
  leaving: () => boolean;
  /** Why the node is not ready, if so. */
  unready: () => Refusal | undefined;
}

const summariseUpstream = (upstream: Upstream, health: string): UpstreamSummary => {
  const { name, dataCentre, model, service, group } = upstream.vm();
  const load = upstream.load();
  return {
    name,
    dataCentre,
    serves: model ?? service ?? '',
    ...(group !== undefined && { group }),
    linked: upstream.link() !== undefined,
    leaving: upstream.leaving(),
    health,
    outstanding: upstream.outstanding(),
    ...(load && {
      queued: load.queued,
      running: load.running,
      drainPerSecond: load.drainPerSecond,
    }),
  };
};

const summariseGroups = (upstreams: UpstreamSummary[]): GroupSummary[] => {
  const names = new Set(upstreams.flatMap(({ group }) => group ?? []));
  return [...names].sort().map((name) => {
    const members = upstreams.filter(({ group }) => group === name);
    return {
      name,
      upstreams: members.length,
      linked: members.filter(({ linked }) => linked).length,
    };
  });
};

const summariseOrganisations = (metrics: Metrics, names: string[]): OrganisationSummary[] => {
  const ended = metrics.snapshot().counters.filter(({ name }) => name === 'requests_ended');
  const sum = (organisation: string, outcome: string): number =>
    ended
      .filter(({ labels }) => labels.organisation === organisation)
      .filter(({ labels }) => labels.outcome === outcome)
      .reduce((total, { value }) => total + value, 0);
  return names.sort().map((name) => ({
    name,
    answered: sum(name, 'answered'),
    refused: sum(name, 'refused'),
    gone: sum(name, 'caller-gone'),
  }));
};

/** Creates the document of `GET /status`. */
export const createEntryStatus = (options: EntryStatusOptions): EntryStatus => {
  const { node, instance, intent, directory, router, targets, metrics, inFlight, unready } =
    options;
  const { document, offset } = intent.current();
  const health = new Map(router.status().map((line) => [line.id, line.health]));
  const upstreams = directory
    .upstreams()
    .map((upstream) => summariseUpstream(upstream, health.get(upstream.vm().name) ?? 'serving'));
  const refusal = unready();
  return {
    node: { ...node, role: 'entry', instance },
    ready: refusal === undefined,
    ...(refusal && { reason: refusal.data?.detail ?? refusal.reason }),
    duty: nodeDuty({
      role: 'entry',
      dataCentre: node.dataCentre,
      document,
      inFlight: inFlight(),
      leaving: options.leaving(),
    }),
    inFlight: inFlight(),
    intent: { offset, freshness: intent.freshness() },
    dataCentres: Object.entries(document.dataCentres).map(([name, { state }]) => ({ name, state })),
    classes: targets.status(document),
    organisations: summariseOrganisations(metrics, Object.keys(document.organisations)),
    upstreams,
    groups: summariseGroups(upstreams),
  };
};
