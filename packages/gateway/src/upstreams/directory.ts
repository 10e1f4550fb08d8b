/** Directory of the upstreams in the platform's list, with the selection of upstreams by service. */

import type { Random } from '@plantaindrum/common';
import type { EngineSlowdown } from '../mesh/engine-slowdown.js';
import type { LoadUpdate } from '../mesh/load-broadcast.js';
import { createPeerArrivals } from './peer-arrivals.js';
import { selectCandidate } from './upstream-selection.js';
import { loadScoreOf } from './load-score.js';
import { withoutStragglers } from './slow-upstreams.js';
import type { Upstream } from './upstream.js';
import { createUpstreamList } from './upstream-list.js';
import type { UpstreamList, UpstreamListOptions } from './upstream-list.js';

/** Why no upstream can be sent a request. */
export type UnavailableReason =
  | 'no-upstream'
  | 'upstreams-full'
  | 'upstreams-rate-limited'
  /** Only cold ones are left, and may get no more requests now. */
  | 'upstreams-cold'
  /** All of them are in data centres that operators have evacuated. */
  | 'evacuated'
  /** No rank group of the service is open. */
  | 'group-closed';

/** A reason not to send requests to upstreams that are listed as ready. */
export interface Exclusion {
  /** Reason of a refusal when this excludes all upstreams of a service. */
  reason: UnavailableReason;
  excludes: (upstream: Upstream) => boolean;
}

/** Upstreams by service. */
export interface Directory extends Pick<UpstreamList, 'apply' | 'recordReplaced' | 'all'> {
  /** Upstreams of a service that accept new requests. */
  usable(service: string): Upstream[];
  /** The usable upstreams without stragglers. */
  preferred(service: string): Upstream[];
  /** Whether an upstream is so slow that its service has a higher throughput without it. */
  isStraggler(upstream: Upstream): boolean;
  /** Calls the listener after each change of an upstream's slowdown; the returned function removes it. */
  onSlowdownChange(listener: () => void): () => void;
  /**
   * The preferred upstreams, or else the usable ones, that can be sent a request of this urgency now: they have
   * connections left, and neither their advertised rate limit nor their limit while cold is used up.
   */
  available(service: string, urgency?: number): Upstream[];
  /** The reason that excludes all ready upstreams of a service; undefined when some are usable, or none is ready. */
  excludedReason(service: string): UnavailableReason | undefined;
  /** Why none of a service's upstreams, apart from those already tried, can be sent a request now. */
  unavailableReason(service: string, tried?: ReadonlySet<string>): UnavailableReason;
  /** Milliseconds until the rate and warm-up limits of a service's upstreams allow a request; 0 if they do now. */
  waitMs(service: string): number;
  /**
   * Selects one of the least loaded upstreams of a service, apart from those already tried; with `mayProbe` one of a
   * group that isn't known to be open, if a probe of it is due.
   */
  select(service: string, tried: ReadonlySet<string>, mayProbe?: boolean): Upstream | undefined;
  /**
   * Selects among the upstreams that may have been tried already, where an evacuation leaves no other: an answer that
   * failed there need not fail again. Undefined where nothing is evacuated, or all that are left are suspect.
   */
  selectAgain(service: string): Upstream | undefined;
  /** Whether more than `REFUSING_FRACTION` of a service's upstreams have just refused to run a request. */
  isRefusing(service: string): boolean;
  /** Records the slowdown that the agent beside the upstream at this address reports. */
  recordSlowdown(pace: EngineSlowdown): void;
  /** Applies the load update of another entry: its requests at the upstreams. */
  applyPeerLoad(peer: string, share: LoadUpdate): void;
}

/** Options of `createDirectory`. */
export interface DirectoryOptions extends UpstreamListOptions {
  dataCentre: string;
  /** Maximum number of connections that one upstream of a service accepts from all entries together. */
  maxConnections: (service: string) => number;
  /** Reasons not to send requests to listed upstreams, such as an evacuation of their data centre. */
  exclusions?: readonly Exclusion[];
  /** Whether a request may be sent to this upstream to find out whether its group is open. */
  isProbeTarget?: (upstream: Upstream) => boolean;
  /** Leaves out groups of upstreams that the next request should not be sent to. */
  narrow?: (candidates: readonly Upstream[]) => readonly Upstream[];
  /** Called with each selected upstream. */
  recordSelected?: (upstream: Upstream) => void;
  random: Random;
}

/** If more than this fraction of a service's upstreams refuse, the others are expected to refuse as well. */
const REFUSING_FRACTION = 0.2;
/** Fraction of the cold upstreams that each step of urgency leaves to the more urgent ones. */
const COLD_RESERVE_FRACTION = 0.25;
/** Max steps of urgency that are distinguished: the least urgent requests get a quarter of the cold upstreams. */
const MAX_COLD_RESERVES = 3;
/** With fewer upstreams nothing is concluded from the refusals of some. */
const MIN_UPSTREAMS = 6;

/** Creates an empty directory. */
export const createDirectory = (options: DirectoryOptions): Directory => {
  const { dataCentre, exclusions = [], clock, random, metrics } = options;
  const list = createUpstreamList(options);
  const arrivals = createPeerArrivals(clock);
  const slowdownListeners = new Set<() => void>();

  const usable = (service: string): Upstream[] => {
    const ready = list.ready(service);
    if (exclusions.length === 0) return ready;
    return ready.filter((upstream) => !exclusions.some(({ excludes }) => excludes(upstream)));
  };

  const excludedReason = (service: string): UnavailableReason | undefined => {
    const ready = list.ready(service);
    if (ready.length === 0 || usable(service).length > 0) return undefined;
    const single = exclusions.find(({ excludes }) => ready.every(excludes));
    const last = exclusions.filter(({ excludes }) => ready.some(excludes)).at(-1);
    return (single ?? last)?.reason;
  };

  /** Upstreams whose group may be probed now, and that nothing else excludes. */
  const probeTargets = (service: string): Upstream[] => {
    const { isProbeTarget } = options;
    if (!isProbeTarget) return [];
    const others = exclusions.filter(({ reason }) => reason !== 'group-closed');
    return list
      .ready(service)
      .filter((upstream) => isProbeTarget(upstream))
      .filter((upstream) => !others.some(({ excludes }) => excludes(upstream)));
  };

  const preferred = (service: string): Upstream[] => withoutStragglers(usable(service));

  const waitMsOf = ({ rate, warmup }: Upstream): number =>
    Math.max(rate.waitMs(), warmup?.waitMs() ?? 0);

  const isAvailable = (upstream: Upstream): boolean =>
    waitMsOf(upstream) === 0 && upstream.total() < options.maxConnections(upstream.record.service);

  const isCold = ({ warmup }: Upstream): boolean => warmup?.isCold() ?? false;

  /** Keeps some of the cold upstreams for more urgent requests if only cold ones are available. */
  const withoutReserved = (available: Upstream[], service: string, urgency: number): Upstream[] => {
    if (urgency === 0 || !available.every(isCold)) return available;
    const reserved = COLD_RESERVE_FRACTION * Math.min(urgency, MAX_COLD_RESERVES);
    const cold = usable(service).filter(isCold).length;
    return available.length > Math.floor(cold * reserved) ? available : [];
  };

  const leastLoaded = (service: string, upstreams: readonly Upstream[]): Upstream | undefined => {
    const candidates = upstreams.map((upstream) => ({
      score: loadScoreOf(upstream, dataCentre),
      free: upstream.record.slots - upstream.total(),
    }));
    return upstreams[selectCandidate(candidates, arrivals.unreported(service), random)];
  };

  return {
    apply: list.apply,
    usable,
    preferred,
    isStraggler: (upstream) => {
      if (upstream.slowdown() <= 1) return false;
      // An excluded upstream is compared too: its streams run to their end there unless they delay all others.
      const others = usable(upstream.record.service).filter((other) => other !== upstream);
      return !withoutStragglers([...others, upstream]).includes(upstream);
    },
    onSlowdownChange: (listener) => {
      slowdownListeners.add(listener);
      return () => slowdownListeners.delete(listener);
    },
    available: (service, urgency = 0) => {
      const fast = preferred(service).filter(isAvailable);
      const available = fast.length > 0 ? fast : usable(service).filter(isAvailable);
      return withoutReserved(available, service, urgency);
    },
    excludedReason,
    unavailableReason: (service, tried = new Set()) => {
      const untried = usable(service).filter(({ record }) => !tried.has(record.instance));
      if (untried.length === 0) return excludedReason(service) ?? 'no-upstream';
      if (untried.some(({ rate }) => rate.waitMs() > 0)) return 'upstreams-rate-limited';
      const isAnyLimited = untried.some(({ warmup }) => (warmup?.leftMs() ?? 0) > 0);
      if (!isAnyLimited) return 'upstreams-full';
      metrics.count('gateway_cold_withheld', { service });
      return 'upstreams-cold';
    },
    waitMs: (service) => {
      const waits = usable(service).map(waitMsOf);
      return waits.length === 0 ? 0 : Math.min(...waits);
    },
    select: (service, tried, mayProbe = tried.size === 0) => {
      const isUntried = (upstream: Upstream): boolean =>
        !tried.has(upstream.record.instance) && isAvailable(upstream);
      const probed = mayProbe ? probeTargets(service).filter(isUntried) : [];
      if (probed.length > 0) return leastLoaded(service, probed);
      const all = usable(service);
      const untried = all.filter(isUntried);
      const fast = withoutStragglers(all).filter(isUntried);
      const healthy = fast.filter((upstream) => !upstream.isSuspect());
      // If every upstream is suspect, one of them is tried all the same.
      const candidates = [healthy, fast, untried].find(({ length }) => length > 0) ?? [];
      const selected = leastLoaded(service, options.narrow?.(candidates) ?? candidates);
      if (selected) options.recordSelected?.(selected);
      return selected;
    },
    selectAgain: (service) => {
      const evacuated = exclusions.filter(({ reason }) => reason === 'evacuated');
      const isReduced = list
        .ready(service)
        .some((upstream) => evacuated.some(({ excludes }) => excludes(upstream)));
      if (!isReduced) return undefined;
      const sound = usable(service).filter((each) => isAvailable(each) && !each.isSuspect());
      return leastLoaded(service, sound);
    },
    isRefusing: (service) => {
      const all = usable(service);
      const refusing = all.filter((upstream) => upstream.isRefusing()).length;
      return all.length >= MIN_UPSTREAMS && refusing > all.length * REFUSING_FRACTION;
    },
    recordSlowdown: ({ host, port, startedAt, pace }) => {
      [...list.listed.values()]
        .filter(({ record }) => record.host === host && record.port === port)
        .filter(({ record }) => record.startedAt <= startedAt)
        .forEach((upstream) => {
          const before = upstream.slowdown();
          upstream.recordSlowdown(pace);
          if (upstream.slowdown() !== before) slowdownListeners.forEach((listener) => listener());
        });
    },
    applyPeerLoad: (peer, { isWhole, counts }) => {
      list.listed.forEach((upstream, instance) => {
        const count = counts[instance] ?? (isWhole ? 0 : undefined);
        if (count !== undefined) {
          arrivals.record(upstream.record.service, upstream.recordPeerInFlight(peer, count));
        }
      });
    },
    recordReplaced: list.recordReplaced,
    all: list.all,
  };
};
