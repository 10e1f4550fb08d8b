/** Applies the shared admission to the services that need it: its room, its peers, and what streams observe. */

import {
  createRamp,
  createRecentValues,
  createRoom,
  createSharedAdmission,
  createWaitingElsewhere,
  proportionalPassTimes,
} from '@plantaindrum/admission';
import type {
  PassTimes,
  Ramp,
  RecentValues,
  Room,
  ServiceRoom,
  SharedAdmission,
  WaitingCounts,
} from '@plantaindrum/admission';
import type { Clock, Metrics, Random } from '@plantaindrum/common';
import { shortestPause } from '../intent/shortest-pause.js';
import type { RouteTable } from '../intent/route-table.js';
import type { Directory } from '../upstreams/directory.js';
import type { Upstream } from '../upstreams/upstream.js';
import { hasSeveralPriorities } from './stream-priorities.js';

/** The groups that serve a service. */
export interface ServiceGroups {
  /** Name of an upstream's group; undefined if it is not known. */
  nameOf(upstream: Upstream): string | undefined;
  /** Time since an upstream's group opened, in ms; Infinity if it is not known. */
  openForMs(upstream: Upstream): number;
}

/** Admission of streams by priority, for the services whose stream routes have several priorities. */
export interface StreamAdmission {
  /** The admission of a service; undefined if its streams are admitted without priorities. */
  of(service: string): SharedAdmission | undefined;
  /** Records the pause between two events of a stream, and the time to its first event, in ms. */
  recordPause(upstream: Upstream, ms: number): void;
  recordFirstEvent(upstream: Upstream, ms: number): void;
  /** Records the prompt of an admitted stream, in tokens. */
  recordPrompt(service: string, tokens: number): void;
  /** Waiting requests at this entry, for the others. */
  waiting(): WaitingCounts;
  applyPeerWaiting(peer: string, counts: WaitingCounts): void;
  forgetPeer(peer: string): void;
  close(): void;
}

/** Options of `createStreamAdmission`. */
export interface StreamAdmissionOptions {
  directory: Pick<Directory, 'preferred'>;
  routeTable: () => RouteTable | undefined;
  groups: ServiceGroups;
  /** Entries that may be running, and the fraction of them that is connected, including this one. */
  entries: () => number;
  connectedFraction: () => number;
  clock: Clock;
  random: Random;
  metrics: Metrics;
}

/**
 * Time after the opening of a group in which its pauses don't count, in ms. They are long because of the uneven expert
 * map that it opens with, until the map has changed a few times; counted, they kept the room at a third of the slots for
 * ten seconds, while 200 requests waited.
 */
const SETTLING_MS = 2_000;
/** Age up to which pauses count as recent, in ms: one or two passes near the target. */
const PAUSE_WINDOW_MS = 200;
/** Max pauses kept for a group: bounds the memory used in a burst. */
const MAX_PAUSES = 512;
/** Quantile of the pauses that the room is computed from: the longer one of two passes, without single delays. */
const PAUSE_QUANTILE = 0.9;
/**
 * Time for which the upstreams that may be used are kept, in ms: a decision asks for the room several times. Nothing is
 * sent to an upstream that has been excluded meanwhile, as the selection asks the directory again.
 */
const MEMBERS_VALID_MS = 20;
/** Tokens of a prompt before one is known, and the weight of the latest one. */
const DEFAULT_PROMPT_TOKENS = 1_000;
const PROMPT_WEIGHT = 0.1;

interface GroupState {
  room: Room;
  ramp: Ramp;
  pauses: RecentValues;
}

interface GroupMembers {
  upstreams: Upstream[];
  slots: number;
}

/** What the room depends on that changes rarely. */
interface ServiceMembers {
  computedAt: number;
  byGroup: ReadonlyMap<string, GroupMembers>;
  times: PassTimes;
  targetPauseMs: number | undefined;
}

interface ServiceState {
  admission: SharedAdmission;
  groups: Map<string, GroupState>;
  members: ServiceMembers | undefined;
  promptTokens: number;
  lastPauseAt: number | undefined;
}

const NO_ROOM: ServiceRoom = {
  ...{ target: 0, max: 0, capacity: 0, slots: 0, inFlight: 0 },
  ageMs: undefined,
};

/** Creates the admission of streams of one entry. */
export const createStreamAdmission = (options: StreamAdmissionOptions): StreamAdmission => {
  const { directory, routeTable, groups, clock, random, metrics } = options;
  const services = new Map<string, ServiceState>();
  const elsewhere = createWaitingElsewhere(clock);
  let checkedTable: RouteTable | undefined;
  let byPriority = new Map<string, boolean>();
  let gaugedPriorities: string[] = [];

  const needsPriorities = (service: string): boolean => {
    const table = routeTable();
    if (!table) return false;
    if (table !== checkedTable) {
      checkedTable = table;
      byPriority = new Map();
    }
    const known = byPriority.get(service) ?? hasSeveralPriorities(table.intent, service);
    byPriority.set(service, known);
    return known;
  };

  const groupStateOf = (state: ServiceState, name: string): GroupState => {
    const group = state.groups.get(name) ?? {
      room: createRoom(clock),
      ramp: createRamp(clock),
      pauses: createRecentValues(clock, PAUSE_WINDOW_MS, MAX_PAUSES),
    };
    state.groups.set(name, group);
    return group;
  };

  const computeMembers = (service: string): ServiceMembers => {
    const table = routeTable();
    const declared = table?.service(service);
    const maxConnections = declared?.maxConnections ?? Infinity;
    const byGroup = new Map<string, GroupMembers>();
    directory.preferred(service).forEach((upstream) => {
      const name = groups.nameOf(upstream) ?? '';
      const members = byGroup.get(name) ?? { upstreams: [], slots: 0 };
      byGroup.set(name, members);
      members.upstreams.push(upstream);
      members.slots += Math.min(upstream.record.slots, maxConnections);
    });
    return {
      computedAt: clock.monotonic(),
      byGroup,
      times: declared?.engine?.passTimes ?? proportionalPassTimes,
      targetPauseMs: shortestPause(table?.intent.routes ?? [], service),
    };
  };

  const membersOf = (service: string, state: ServiceState): ServiceMembers => {
    const { members } = state;
    if (members && clock.monotonic() - members.computedAt < MEMBERS_VALID_MS) return members;
    const computed = computeMembers(service);
    Object.assign(state, { members: computed });
    return computed;
  };

  const roomOf = (service: string, state: ServiceState): ServiceRoom => {
    const { byGroup, times, targetPauseMs } = membersOf(service, state);
    // What unlinked entries have in flight is unknown here, so their part of the room stays free for them.
    const fraction = options.connectedFraction();
    const total = { target: 0, max: 0, capacity: 0, slots: 0, inFlight: 0 };
    byGroup.forEach(({ upstreams, slots }, name) => {
      const { room, ramp, pauses } = groupStateOf(state, name);
      let streams = 0;
      for (const upstream of upstreams) streams += upstream.total();
      const size = room.update({
        ...{ slots, streams, times, targetPauseMs },
        engines: upstreams.length,
        contextTokens: state.promptTokens,
        startsPerMs: streams / state.admission.streamMs(),
        pauseMs: pauses.quantile(PAUSE_QUANTILE),
      });
      const limit = ramp.limit(streams, upstreams.length * fraction);
      total.target += Math.min(limit, size.target * fraction);
      total.max += Math.min(limit, size.max * fraction);
      total.capacity += size.target * fraction;
      total.slots += slots * fraction;
      total.inFlight += streams;
    });
    const { lastPauseAt } = state;
    return {
      ...total,
      ageMs: lastPauseAt === undefined ? undefined : Math.round(clock.monotonic() - lastPauseAt),
    };
  };

  const createService = (service: string): SharedAdmission => {
    const admission: SharedAdmission = createSharedAdmission({
      clock,
      random,
      entries: options.entries,
      room: () => {
        const state = services.get(service);
        return state ? roomOf(service, state) : NO_ROOM;
      },
      waitingElsewhere: () => elsewhere.of(service),
    });
    services.set(service, {
      admission,
      groups: new Map(),
      members: undefined,
      promptTokens: DEFAULT_PROMPT_TOKENS,
      lastPauseAt: undefined,
    });
    return admission;
  };

  const recordGauges = (counts: WaitingCounts): void => {
    const totals = new Map(gaugedPriorities.map((priority) => [priority, 0]));
    Object.values(counts)
      .flatMap((byPriorities) => Object.entries(byPriorities))
      .forEach(([priority, count]) => totals.set(priority, (totals.get(priority) ?? 0) + count));
    gaugedPriorities = [...totals.keys()];
    totals.forEach((count, priority) => metrics.gauge('gateway_waiting', count, { priority }));
  };

  const waiting = (): WaitingCounts => {
    const counts = Object.fromEntries(
      [...services]
        .filter(([, { admission }]) => admission.size() > 0)
        .map(([service, { admission }]) => [service, admission.waiting()]),
    );
    recordGauges(counts);
    return counts;
  };

  return {
    of: (service) =>
      needsPriorities(service)
        ? (services.get(service)?.admission ?? createService(service))
        : undefined,
    recordPause: (upstream, ms) => {
      const state = services.get(upstream.record.service);
      if (!state) return;
      state.lastPauseAt = clock.monotonic();
      if (groups.openForMs(upstream) < SETTLING_MS) return;
      groupStateOf(state, groups.nameOf(upstream) ?? '').pauses.record(ms);
    },
    recordFirstEvent: (upstream, ms) =>
      services.get(upstream.record.service)?.admission.recordFirstEvent(ms),
    recordPrompt: (service, tokens) => {
      const state = services.get(service);
      if (state) state.promptTokens += PROMPT_WEIGHT * (tokens - state.promptTokens);
    },
    waiting,
    applyPeerWaiting: elsewhere.record,
    forgetPeer: elsewhere.forget,
    close: () => services.forEach(({ admission }) => admission.close()),
  };
};
