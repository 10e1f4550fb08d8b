/** Directory of the upstreams in the platform's list, with the selection of upstreams by service. */

import type { Clock, EventLog, Metrics, Random, Result } from '@plantaindrum/common';
import type { KeyedChange } from '@plantaindrum/mirror';
import type { EngineSlowdown } from '../mesh/engine-slowdown.js';
import type { LoadUpdate } from '../mesh/load-broadcast.js';
import type { UpstreamRecordFault, UpstreamRecord } from '../types.js';
import { createPeerArrivals } from './peer-arrivals.js';
import { selectCandidate } from './upstream-selection.js';
import { loadScoreOf } from './load-score.js';
import { createInvalidEntryRecorder } from './invalid-entries.js';
import { createKnownStarts } from './known-starts.js';
import { withoutStragglers } from './slow-upstreams.js';
import { createUpstream } from './upstream.js';
import type { Upstream } from './upstream.js';

/** Why no upstream can be sent a request. */
export type UnavailableReason = 'no-upstream' | 'upstreams-full' | 'upstreams-rate-limited';

/** Upstreams by service. */
export interface Directory {
  /** Applies a change of the platform's list. */
  apply(change: KeyedChange): void;
  /** Upstreams of a service that accept new requests. */
  usable(service: string): Upstream[];
  /** The usable upstreams without stragglers. */
  preferred(service: string): Upstream[];
  /** Whether an upstream is so slow that its service has a higher throughput without it. */
  isStraggler(upstream: Upstream): boolean;
  /** Calls the listener after each change of an upstream's slowdown; the returned function removes it. */
  onSlowdownChange(listener: () => void): () => void;
  /**
   * The preferred upstreams, or else the usable ones, that can be sent a request now: they have connections left,
   * and their advertised rate limit, if any, is not used up.
   */
  available(service: string): Upstream[];
  /** Why none of a service's upstreams, apart from those already tried, can be sent a request now. */
  unavailableReason(service: string, tried?: ReadonlySet<string>): UnavailableReason;
  /** Milliseconds until the rate limits of a service's upstreams allow a request; 0 if they do now. */
  waitMs(service: string): number;
  /** Selects one of the least loaded upstreams of a service, apart from those already tried. */
  select(service: string, tried: ReadonlySet<string>): Upstream | undefined;
  /** Whether more than `REFUSING_FRACTION` of a service's upstreams have just refused to run a request. */
  isRefusing(service: string): boolean;
  /** Records the slowdown that the agent beside the upstream at this address reports. */
  recordSlowdown(pace: EngineSlowdown): void;
  /** Applies the load update of another entry: its requests at the upstreams. */
  applyPeerLoad(peer: string, share: LoadUpdate): void;
  /** Records that another instance responded at this one's address. */
  recordReplaced(upstream: Upstream): void;
  /** All upstreams that are known, including those whose entry has lapsed recently. */
  all(): Upstream[];
}

/** Decodes an entry of the platform's list. */
export type DecodeUpstream = (
  key: string,
  value: Uint8Array,
) => Result<UpstreamRecord, UpstreamRecordFault>;

/** Options of `createDirectory`. */
export interface DirectoryOptions {
  decode: DecodeUpstream;
  dataCentre: string;
  /** Called when an upstream's process has exited: it has started again, or another one is listed at its address. */
  onExited: (upstream: UpstreamRecord) => void;
  /** Maximum number of connections that one upstream of a service accepts from all entries together. */
  maxConnections: (service: string) => number;
  /** Fraction of the entries that this one is connected with, for limits that hold for all entries together. */
  connectedFraction: () => number;
  /** When the platform's log became available again after an outage (monotonic, ms). */
  logRecoveredAt: () => number;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/**
 * How long an upstream whose entry has lapsed is used if no other upstream of its service is listed, in ms, from the
 * lapse or from the end of an outage of the log. A running upstream writes its entry again about two seconds after such
 * an outage.
 */
const LAPSED_GRACE_MS = 2_000;
/** If more than this fraction of a service's upstreams refuse, the others are expected to refuse as well. */
const REFUSING_FRACTION = 0.2;
/** With fewer upstreams nothing is concluded from the refusals of some. */
const MIN_UPSTREAMS = 6;

const addressOf = ({ host, port }: UpstreamRecord): string => `${host}:${port}`;

/**
 * Keeps, of several instances at one address, the one that was listed last. The others have exited, although their
 * entries stay in the list for some seconds; after a power failure half of all attempts went to them. An invented entry
 * at the address of a running upstream is detected by the first response there.
 */
const latestAtEachAddress = (upstreams: readonly Upstream[]): Upstream[] => [
  ...new Map(upstreams.map((upstream) => [addressOf(upstream.record), upstream])).values(),
];

/** Maximum number of addresses whose last upstream is remembered; bounds the memory. */
const MAX_ADDRESSES = 4_096;

/** Creates an empty directory. */
export const createDirectory = (options: DirectoryOptions): Directory => {
  const { decode, dataCentre, logRecoveredAt, clock, random, metrics, log } = options;
  const listed = new Map<string, Upstream>();
  const lapsed = new Map<string, { upstream: Upstream; at: number }>();
  const leaving = new Set<string>();
  const replaced = new WeakSet<Upstream>();
  const knownStarts = createKnownStarts();
  /** Includes upstreams whose entry has lapsed: one that crashed starts again only after that. */
  const lastAtAddress = new Map<string, UpstreamRecord>();
  const arrivals = createPeerArrivals(clock);
  const recordInvalidEntry = createInvalidEntryRecorder(metrics, log);
  const slowdownListeners = new Set<() => void>();
  /** Listed upstreams that are at their address; computed again after each change of the list. */
  let presentUpstreams: Upstream[] | undefined;

  const forget = (instance: string): void => {
    listed.delete(instance);
    lapsed.delete(instance);
    leaving.delete(instance);
  };

  /** Reports the exit of the upstream that was listed before at this address, unless it had announced its exit. */
  const reportPredecessor = (record: UpstreamRecord): void => {
    const address = addressOf(record);
    const last = lastAtAddress.get(address);
    const isSame = last?.instance === record.instance && last.startedAt === record.startedAt;
    if (last && !isSame) options.onExited(last);
    lastAtAddress.delete(address);
    if (record.state === 'ready') lastAtAddress.set(address, record);
    const [oldest] = lastAtAddress.keys();
    if (lastAtAddress.size > MAX_ADDRESSES && oldest !== undefined) lastAtAddress.delete(oldest);
  };

  const add = (record: UpstreamRecord): void => {
    const { instance, startedAt, sequence } = record;
    const status = knownStarts.accept(record);
    // A heartbeat may arrive after the announcement that its upstream is leaving, or after the upstream has
    // started again. If it were applied, requests would be sent to an upstream that is leaving, or a healthy
    // one would be excluded for good.
    if (status === 'outdated') {
      metrics.count('gateway_outdated_entries');
      return;
    }
    if (status === 'later-start') {
      forget(instance);
      log.event('upstream-started-again', { upstream: instance, startedAt, sequence });
    }
    const known = listed.get(instance) ?? lapsed.get(instance)?.upstream;
    const isLeaving = leaving.has(record.instance) || record.state === 'draining';
    if (isLeaving && !leaving.has(record.instance)) {
      leaving.add(record.instance);
      log.event('upstream-leaving', { upstream: record.instance, service: record.service });
    }
    const effective: UpstreamRecord = { ...record, state: isLeaving ? 'draining' : record.state };
    lapsed.delete(record.instance);
    if (!known) {
      log.event('upstream-listed', { upstream: record.instance, service: record.service });
    }
    reportPredecessor(effective);
    const upstream = known ?? createUpstream(effective, clock, options.connectedFraction);
    upstream.update(effective);
    listed.set(record.instance, upstream);
  };

  const remove = (instance: string): void => {
    const upstream = listed.get(instance);
    listed.delete(instance);
    if (!upstream) return;
    log.event('upstream-gone', { upstream: instance, service: upstream.record.service });
    if (leaving.delete(instance)) {
      knownStarts.recordLeft(instance);
      return;
    }
    knownStarts.recordRemoved(instance);
    lapsed.set(instance, { upstream, at: clock.monotonic() });
  };

  const isReady = (upstream: Upstream, service: string): boolean =>
    upstream.record.service === service &&
    upstream.record.state === 'ready' &&
    !replaced.has(upstream);

  const lapsedOf = (service: string): Upstream[] => {
    const now = clock.monotonic();
    const recoveredAt = Math.max(logRecoveredAt(), 0);
    [...lapsed].forEach(([instance, { at }]) => {
      if (now > Math.max(at, recoveredAt) + LAPSED_GRACE_MS) lapsed.delete(instance);
    });
    return [...lapsed.values()]
      .map(({ upstream }) => upstream)
      .filter((upstream) => isReady(upstream, service));
  };

  const usable = (service: string): Upstream[] => {
    presentUpstreams ??= latestAtEachAddress(
      [...listed.values()].filter((each) => !replaced.has(each)),
    );
    const ready = presentUpstreams.filter((upstream) => isReady(upstream, service));
    return ready.length > 0 ? ready : lapsedOf(service);
  };

  const preferred = (service: string): Upstream[] => withoutStragglers(usable(service));

  const isAvailable = ({ rate, record, total }: Upstream): boolean =>
    rate.waitMs() === 0 && total() < options.maxConnections(record.service);

  const leastLoaded = (service: string, upstreams: readonly Upstream[]): Upstream | undefined => {
    const candidates = upstreams.map((upstream) => ({
      score: loadScoreOf(upstream, dataCentre),
      free: upstream.record.slots - upstream.total(),
    }));
    return upstreams[selectCandidate(candidates, arrivals.unreported(service), random)];
  };

  return {
    apply: ({ key, value }) => {
      presentUpstreams = undefined;
      if (value === undefined) {
        remove(key);
        return;
      }
      const entry = decode(key, value);
      if (entry.ok) add(entry.value);
      // What is known under this key stays valid: the upstream itself writes the entry again, or it lapses.
      else recordInvalidEntry(key, value, entry.err);
    },
    usable,
    preferred,
    isStraggler: (upstream) =>
      upstream.slowdown() > 1 && !preferred(upstream.record.service).includes(upstream),
    onSlowdownChange: (listener) => {
      slowdownListeners.add(listener);
      return () => slowdownListeners.delete(listener);
    },
    available: (service) => {
      const fast = preferred(service).filter(isAvailable);
      return fast.length > 0 ? fast : usable(service).filter(isAvailable);
    },
    unavailableReason: (service, tried = new Set()) => {
      const untried = usable(service).filter(({ record }) => !tried.has(record.instance));
      if (untried.length === 0) return 'no-upstream';
      return untried.some(({ rate }) => rate.waitMs() > 0)
        ? 'upstreams-rate-limited'
        : 'upstreams-full';
    },
    waitMs: (service) => {
      const waits = usable(service).map(({ rate }) => rate.waitMs());
      return waits.length === 0 ? 0 : Math.min(...waits);
    },
    select: (service, tried) => {
      const isUntried = (upstream: Upstream): boolean =>
        !tried.has(upstream.record.instance) && isAvailable(upstream);
      const untried = usable(service).filter(isUntried);
      const fast = preferred(service).filter(isUntried);
      const healthy = fast.filter((upstream) => !upstream.isSuspect());
      // If every upstream is suspect, one of them is tried all the same.
      const candidates = [healthy, fast, untried].find(({ length }) => length > 0) ?? [];
      return leastLoaded(service, candidates);
    },
    isRefusing: (service) => {
      const all = usable(service);
      const refusing = all.filter((upstream) => upstream.isRefusing()).length;
      return all.length >= MIN_UPSTREAMS && refusing > all.length * REFUSING_FRACTION;
    },
    recordSlowdown: ({ host, port, startedAt, pace }) => {
      [...listed.values()]
        .filter(({ record }) => record.host === host && record.port === port)
        .filter(({ record }) => record.startedAt <= startedAt)
        .forEach((upstream) => {
          const before = upstream.slowdown();
          upstream.recordSlowdown(pace);
          if (upstream.slowdown() !== before) slowdownListeners.forEach((listener) => listener());
        });
    },
    applyPeerLoad: (peer, { isWhole, counts }) => {
      listed.forEach((upstream, instance) => {
        const count = counts[instance] ?? (isWhole ? 0 : undefined);
        if (count !== undefined) {
          arrivals.record(upstream.record.service, upstream.recordPeerInFlight(peer, count));
        }
      });
    },
    recordReplaced: (upstream) => {
      replaced.add(upstream);
      presentUpstreams = undefined;
      log.event('upstream-replaced', { upstream: upstream.record.instance });
    },
    all: () => [...listed.values(), ...[...lapsed.values()].map(({ upstream }) => upstream)],
  };
};
