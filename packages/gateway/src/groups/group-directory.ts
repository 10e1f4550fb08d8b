/**
 * The rank groups of the services and their states, for the selection of upstreams.
 *
 * A group serves only while all its ranks do: when one has crashed, all of them refuse until the group has formed again.
 * Upstreams of a group that isn't open are excluded, where their service has another group as well; services with one
 * group or none are left to the service outages.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { NodeRecord } from '@plantaindrum/mirror';
import { createEventTimings } from '../admission/event-timings.js';
import type { EventTimings } from '../admission/event-timings.js';
import type { Upstream } from '../upstreams/upstream.js';
import { createGroupMembership } from './group-membership.js';
import { createGroupProbe } from './group-probe.js';
import type { GroupProbe } from './group-probe.js';
import type { GroupReport, GroupUpdate } from './group-report.js';
import { createGroupState } from './group-state.js';
import type { GroupChange, GroupState } from './group-state.js';

/** One group as this entry knows it. */
export interface RankGroup {
  readonly name: string;
  readonly state: GroupState;
  readonly probe: GroupProbe;
  /** Event timings of its streams through this entry. */
  readonly timings: EventTimings;
  /** Number of its known ranks. */
  size(): number;
}

/** Rank groups of the services. */
export interface GroupDirectory {
  setNodes(nodes: readonly NodeRecord[]): void;
  /** Whether two groups or more are known, of any service. */
  hasSeveral(): boolean;
  /** Groups of a service; empty where it has fewer than two. */
  groupsOf(service: string): readonly RankGroup[];
  /** Group of an upstream; undefined where its service has fewer than two. */
  groupOf(upstream: Upstream): RankGroup | undefined;
  /** Whether an upstream is excluded because its group isn't open. */
  isClosed(upstream: Upstream): boolean;
  /** Whether a request may be sent to this upstream to find out whether its group is open. */
  isProbeTarget(upstream: Upstream): boolean;
  /** Records of this entry's attempts. */
  recordSent(upstream: Upstream): void;
  recordConnected(upstream: Upstream): void;
  recordAnswer(upstream: Upstream, sentAt: number): void;
  /** Records that a rank refused a request although it has room. */
  recordRefusal(upstream: Upstream): void;
  /** Records that the connection to a rank was refused or lost. */
  recordLoss(upstream: Upstream): void;
  recordInconclusive(upstream: Upstream): void;
  /** Records an event of a stream, with the time since the last one if there was one, in ms. */
  recordEvent(upstream: Upstream, pauseMs: number | undefined): void;
  /** Applies the report of an agent. */
  applyReport(report: GroupReport): void;
  /** Applies the update of another entry. */
  applyUpdate(update: GroupUpdate): void;
  /** States of all groups, for an entry that has just linked. */
  fullUpdate(): GroupUpdate;
  /** Calls the listener after each change of a group's state. */
  onChange(listener: (group: RankGroup, change: GroupChange) => void): void;
}

/** Options of `createGroupDirectory`. */
export interface GroupDirectoryOptions {
  upstreams: () => readonly Upstream[];
  /** Sends an update to all other entries. */
  broadcast: (update: GroupUpdate) => void;
  /** Position of this entry among the linked ones, from 0. */
  turn: () => number;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Time for which the groups of a service are kept before they are computed again, in ms. */
const SERVICE_GROUPS_MS = 250;
/** Delay of an entry's turn to probe after the one before, in ms: an announcement takes about 1 ms. */
const TURN_MS = 15;
/** Largest number of turns to wait. With more entries several have the last turn. */
const MAX_TURNS = 10;
/** Maximum number of groups that are kept; bounds the memory. */
const MAX_GROUPS = 256;

interface ServiceGroups {
  groups: readonly RankGroup[];
  computedAt: number;
  version: number;
}

/** Creates the directory of an entry that knows of no group. */
export const createGroupDirectory = (options: GroupDirectoryOptions): GroupDirectory => {
  const { broadcast, clock, metrics, log } = options;
  const membership = createGroupMembership();
  const groups = new Map<string, RankGroup>();
  const byService = new Map<string, ServiceGroups>();
  const listeners: ((group: RankGroup, change: GroupChange) => void)[] = [];

  /** Cached because each selection checks all upstreams; undefined after a change. */
  let areAllOpen: boolean | undefined;

  const turnMs = (): number => Math.min(MAX_TURNS, options.turn()) * TURN_MS;
  const emptyUpdate: GroupUpdate = { states: [], refusals: [], probes: [] };

  /** Names of the groups that a service's upstreams belong to. */
  const groupNames = (service: string): string[] => {
    const ofService = options.upstreams().filter(({ record }) => record.service === service);
    return [...new Set(ofService.flatMap(({ record }) => membership.groupAt(record) ?? []))].sort();
  };

  /** Nothing depends on the state of a group that serves its service alone. */
  const isOneOfSeveral = (name: string): boolean => {
    const ranks = options.upstreams().filter(({ record }) => membership.groupAt(record) === name);
    const services = new Set(ranks.map(({ record }) => record.service));
    return [...services].some((service) => groupNames(service).length > 1);
  };

  const handleChange = (group: RankGroup, change: GroupChange): void => {
    const { name, state } = group;
    if (change.condition === 'open') group.probe.recordFailed();
    if (!isOneOfSeveral(name)) return;
    const { condition, source } = change;
    const ageMs = Math.round(change.ageMs);
    const previousMs = Math.round(change.previousMs);
    log.event(`group-${condition}`, { group: name, source, ageMs, previousMs });
    metrics.count('gateway_group_changes', { group: name, state: condition, source });
    metrics.gauge('gateway_group_open', condition === 'open' ? 1 : 0, { group: name });
    const report = state.report(name);
    // The entry that another one reported has told all of them.
    if (report && source !== 'entry') broadcast({ ...emptyUpdate, states: [report] });
    listeners.forEach((listener) => listener(group, change));
  };

  const createGroup = (name: string): RankGroup => {
    const state = createGroupState(clock, (change) => {
      areAllOpen = undefined;
      const group = groups.get(name);
      if (group) handleChange(group, change);
    });
    const onAccepted = (): void => state.recordAnswer(clock.monotonic());
    return {
      name,
      state,
      probe: createGroupProbe(state, turnMs, onAccepted, clock),
      timings: createEventTimings(clock),
      size: () => membership.size(name),
    };
  };

  const getOrCreate = (name: string): RankGroup | undefined => {
    const known = groups.get(name);
    if (known || groups.size >= MAX_GROUPS) return known;
    const created = createGroup(name);
    groups.set(name, created);
    areAllOpen = undefined;
    return created;
  };

  const computeGroups = (service: string): RankGroup[] => {
    const names = groupNames(service);
    return names.length > 1 ? names.flatMap((name) => getOrCreate(name) ?? []) : [];
  };

  const groupsOf = (service: string): readonly RankGroup[] => {
    const now = clock.monotonic();
    const version = membership.version();
    const known = byService.get(service);
    if (known && known.version === version && now - known.computedAt < SERVICE_GROUPS_MS) {
      return known.groups;
    }
    const computed = { groups: computeGroups(service), computedAt: now, version };
    byService.set(service, computed);
    return computed.groups;
  };

  const groupOf = ({ record }: Upstream): RankGroup | undefined => {
    const name = groupsOf(record.service).length > 0 ? membership.groupAt(record) : undefined;
    return name === undefined ? undefined : groups.get(name);
  };

  const isOpen = ({ state }: RankGroup): boolean => state.condition() === 'open';

  /** Whether no group can be closed; groups that no request has asked for yet are not known to be open. */
  const hasOnlyOpenGroups = (): boolean => {
    if (membership.count() < 2) return true;
    areAllOpen ??= groups.size > 0 && [...groups.values()].every(isOpen);
    return areAllOpen;
  };

  return {
    setNodes: membership.setNodes,
    hasSeveral: () => membership.count() > 1,
    groupsOf,
    groupOf,
    isClosed: (upstream) => {
      if (hasOnlyOpenGroups()) return false;
      const group = groupOf(upstream);
      return group !== undefined && !isOpen(group);
    },
    isProbeTarget: (upstream) =>
      !hasOnlyOpenGroups() && (groupOf(upstream)?.probe.isOffered() ?? false),
    recordSent: (upstream) => {
      const group = groupOf(upstream);
      if (!group) return;
      metrics.count('gateway_group_attempts', { group: group.name });
      if (isOpen(group)) return;
      group.probe.recordSent(true);
      metrics.count('gateway_group_probes', { group: group.name });
      broadcast({ ...emptyUpdate, probes: [group.name] });
    },
    recordConnected: (upstream) => groupOf(upstream)?.probe.recordConnected(),
    recordAnswer: (upstream, sentAt) => groupOf(upstream)?.state.recordAnswer(sentAt),
    recordRefusal: (upstream) => {
      const group = groupOf(upstream);
      if (!group) return;
      const { name, state, probe } = group;
      const { instance, warmupLeftMs } = upstream.record;
      metrics.count('gateway_group_refusals', { group: name });
      probe.recordFailed();
      // A cold rank refuses requests beyond its warm-up limit, although its group is open.
      if (isOpen(group) && warmupLeftMs > 0) return;
      const isNews = isOpen(group);
      state.recordRefusal(instance, group.size());
      // The refusals at several entries together close a group sooner than those at each of them.
      if (isNews && isOpen(group)) {
        broadcast({ ...emptyUpdate, refusals: [{ group: name, instance }] });
      }
    },
    recordLoss: (upstream) => {
      const group = groupOf(upstream);
      if (!group) return;
      metrics.count('gateway_group_losses', { group: group.name });
      group.probe.recordFailed();
      group.state.recordLoss(upstream.record.instance, group.size());
    },
    recordInconclusive: (upstream) => groupOf(upstream)?.probe.recordFailed(),
    recordEvent: (upstream, pauseMs) => {
      const group = groupOf(upstream);
      if (!group) return;
      if (pauseMs !== undefined) group.timings.recordPause(pauseMs);
      group.state.recordEvent();
    },
    applyReport: (report) => getOrCreate(report.group)?.state.applyReport(report, 'agent'),
    applyUpdate: ({ states, refusals, probes }) => {
      states.forEach((report) => getOrCreate(report.group)?.state.applyReport(report, 'entry'));
      refusals.forEach(({ group, instance }) => {
        const known = groups.get(group);
        if (known && isOpen(known)) known.state.recordRefusal(instance, known.size());
      });
      probes.forEach((name) => groups.get(name)?.probe.recordSent(false));
    },
    fullUpdate: () => ({
      ...emptyUpdate,
      states: [...groups.values()].flatMap(({ name, state }) => state.report(name) ?? []),
    }),
    onChange: (listener) => listeners.push(listener),
  };
};
