/** All upstreams that are listed, and the choice among those of a service. */

import type { Clock, EventLog, Metrics, Random, Result } from '@plantaindrum/common';
import type { KeyedChange } from '@plantaindrum/mirror';
import type { EnginePace } from '../mesh/engine-pace.js';
import type { LoadShare } from '../mesh/load-share.js';
import type { UpstreamFault, UpstreamRecord } from '../types.js';
import { createArrivals } from './arrivals.js';
import { pickOffer } from './choice.js';
import { costOf } from './cost.js';
import { createForeignEntries } from './foreign-entries.js';
import { createKnownStarts } from './known-starts.js';
import { withoutSlow } from './slow-upstreams.js';
import { createUpstream } from './upstream.js';
import type { Upstream } from './upstream.js';

/** Why no upstream may be sent a request. */
export type Obstacle = 'no-upstream' | 'upstreams-full' | 'upstreams-rate-limited';

/** Upstreams by service. */
export interface Directory {
  /** Takes a change of the platform's list. */
  apply(change: KeyedChange): void;
  /** Upstreams of a service that may take new work. */
  usable(service: string): Upstream[];
  /** Those that new work goes to: the usable ones less those that would hold the others up. */
  preferred(service: string): Upstream[];
  /** Whether an upstream holds up the others of its service, which can do without it. */
  isHoldingUp(upstream: Upstream): boolean;
  /** Told of each change in who holds up others; the result ends that. */
  onPaceChange(listener: () => void): () => void;
  /**
   * Of the preferred upstreams, or else of the usable ones, those that may be sent a request now: they have
   * connections left, and their rate limit, where they advertise one, is not used up.
   */
  open(service: string): Upstream[];
  /** Why none of a service's upstreams, apart from those already tried, may be sent a request now. */
  obstacle(service: string, tried?: ReadonlySet<string>): Obstacle;
  /** Milliseconds until the rate limits of a service's upstreams allow a request; 0 where one does now. */
  waitMs(service: string): number;
  /** One of the least loaded of a service's upstreams, apart from those already tried. */
  choose(service: string, tried: ReadonlySet<string>): Upstream | undefined;
  /** Most of a service's upstreams have just refused to run a request. */
  isRefusing(service: string): boolean;
  /** The agent beside the upstream at this address tells its pace. */
  notePace(pace: EnginePace): void;
  /** Another entry tells its requests at the upstreams. */
  notePeerLoad(peer: string, share: LoadShare): void;
  /** Another instance answered at this one's address. */
  noteReplaced(upstream: Upstream): void;
  all(): Upstream[];
}

/** Reads an entry of the platform's list. */
export type DecodeUpstream = (
  key: string,
  value: Uint8Array,
) => Result<UpstreamRecord, UpstreamFault>;

/** Options of `createDirectory`. */
export interface DirectoryOptions {
  decode: DecodeUpstream;
  dataCentre: string;
  /** An upstream's process has ended: it has started again, or another one is listed at its address. */
  onEnded: (upstream: UpstreamRecord) => void;
  /** Most connections that one upstream of a service accepts from all entries together. */
  maxConnections: (service: string) => number;
  /** Part of the entries that this one hears of, for limits that hold for all entries together. */
  linkedShare: () => number;
  /** When the platform's log came back after an outage (monotonic, ms). */
  logBackAt: () => number;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/**
 * An upstream whose entry lapsed in an outage of the log is back in the list about two seconds after
 * the log is, if it lives. So long it serves on where no other upstream of its service is listed.
 */
const LAPSED_GRACE_MS = 2_000;
/** Share of a service's upstreams that refuse when the others will, too; not told of a few. */
const MOST_REFUSING = 0.2;
const FEW_UPSTREAMS = 6;

const addressOf = ({ host, port }: UpstreamRecord): string => `${host}:${port}`;

/**
 * Of several instances at one address the one that was listed last. The others have ended, though
 * their entries stand for seconds yet, and after a loss of power half of all attempts went to them.
 * An entry that another writer made up for a sound upstream's address is told by its first answer.
 */
const latestAtEachAddress = (upstreams: readonly Upstream[]): Upstream[] => [
  ...new Map(upstreams.map((u) => [addressOf(u.record), u])).values(),
];

/** Addresses of which the last upstream is remembered; a bound on memory. */
const MOST_ADDRESSES = 4_096;

/** Creates a directory that follows the platform's list. */
export const createDirectory = (options: DirectoryOptions): Directory => {
  const { decode, dataCentre, logBackAt, clock, random, metrics, log } = options;
  const listed = new Map<string, Upstream>();
  const lapsed = new Map<string, { upstream: Upstream; at: number }>();
  const leaving = new Set<string>();
  const replaced = new WeakSet<Upstream>();
  const starts = createKnownStarts();
  /** Also of upstreams whose entry has lapsed: one that crashed is back after that. */
  const lastAtAddress = new Map<string, UpstreamRecord>();
  const arrivals = createArrivals(clock);
  const noteForeign = createForeignEntries(metrics, log);
  const paceListeners = new Set<() => void>();
  /** Upstreams that are there; worked out again after each change of the list. */
  let present: Upstream[] | undefined;

  const forget = (instance: string): void => {
    listed.delete(instance);
    lapsed.delete(instance);
    leaving.delete(instance);
  };

  /** Tells of the upstream that was listed last at an address and is not there any more, unless it had left. */
  const notePredecessor = (record: UpstreamRecord): void => {
    const address = addressOf(record);
    const last = lastAtAddress.get(address);
    const isSame = last?.instance === record.instance && last.startedAt === record.startedAt;
    if (last && !isSame) options.onEnded(last);
    lastAtAddress.delete(address);
    if (record.state === 'ready') lastAtAddress.set(address, record);
    const [oldest] = lastAtAddress.keys();
    if (lastAtAddress.size > MOST_ADDRESSES && oldest !== undefined) lastAtAddress.delete(oldest);
  };

  const add = (record: UpstreamRecord): void => {
    const { instance, startedAt, sequence } = record;
    const standing = starts.take(record);
    // A heartbeat that an upstream sent before it announced its leaving may arrive after it, and one
    // of an earlier start after it has started again: taken for news, a caller's request would go to
    // an upstream that leaves, or a sound one would be left out for good.
    if (standing === 'outdated') {
      metrics.count('gateway_outdated_entries');
      return;
    }
    if (standing === 'later-start') {
      forget(instance);
      log.event('upstream-started-again', { upstream: instance, startedAt, sequence });
    }
    const known = listed.get(instance) ?? lapsed.get(instance)?.upstream;
    const isLeaving = leaving.has(record.instance) || record.state === 'draining';
    if (isLeaving && !leaving.has(record.instance)) {
      leaving.add(record.instance);
      log.event('upstream-leaving', { upstream: record.instance, service: record.service });
    }
    const settled: UpstreamRecord = { ...record, state: isLeaving ? 'draining' : record.state };
    lapsed.delete(record.instance);
    if (!known) {
      log.event('upstream-listed', { upstream: record.instance, service: record.service });
    }
    notePredecessor(settled);
    const upstream = known ?? createUpstream(settled, clock, options.linkedShare);
    upstream.update(settled);
    listed.set(record.instance, upstream);
  };

  const remove = (instance: string): void => {
    const upstream = listed.get(instance);
    listed.delete(instance);
    if (!upstream) return;
    log.event('upstream-gone', { upstream: instance, service: upstream.record.service });
    if (leaving.delete(instance)) {
      starts.noteLeft(instance);
      return;
    }
    starts.noteRemoved(instance);
    lapsed.set(instance, { upstream, at: clock.monotonic() });
  };

  const isReady = (upstream: Upstream, service: string): boolean =>
    upstream.record.service === service &&
    upstream.record.state === 'ready' &&
    !replaced.has(upstream);

  const lapsedOf = (service: string): Upstream[] => {
    const now = clock.monotonic();
    const oldest = Math.max(logBackAt(), 0);
    [...lapsed].forEach(([instance, { at }]) => {
      if (now > Math.max(at, oldest) + LAPSED_GRACE_MS) lapsed.delete(instance);
    });
    return [...lapsed.values()]
      .map(({ upstream }) => upstream)
      .filter((upstream) => isReady(upstream, service));
  };

  const usable = (service: string): Upstream[] => {
    present ??= latestAtEachAddress([...listed.values()].filter((each) => !replaced.has(each)));
    const ready = present.filter((upstream) => isReady(upstream, service));
    return ready.length > 0 ? ready : lapsedOf(service);
  };

  const preferred = (service: string): Upstream[] => withoutSlow(usable(service));

  const isOpen = ({ rate, record, total }: Upstream): boolean =>
    rate.waitMs() === 0 && total() < options.maxConnections(record.service);

  const cheapest = (service: string, upstreams: readonly Upstream[]): Upstream | undefined => {
    const offers = upstreams.map((upstream) => ({
      cost: costOf(upstream, dataCentre),
      free: upstream.record.slots - upstream.total(),
    }));
    return upstreams[pickOffer(offers, arrivals.unheard(service), random)];
  };

  return {
    apply: ({ key, value }) => {
      present = undefined;
      if (value === undefined) {
        remove(key);
        return;
      }
      const entry = decode(key, value);
      if (entry.ok) add(entry.value);
      // What is known under this key holds: the upstream itself writes there again, or it lapses.
      else noteForeign(key, value, entry.err);
    },
    usable,
    preferred,
    isHoldingUp: (upstream) =>
      upstream.pace() > 1 && !preferred(upstream.record.service).includes(upstream),
    onPaceChange: (listener) => {
      paceListeners.add(listener);
      return () => paceListeners.delete(listener);
    },
    open: (service) => {
      const quick = preferred(service).filter(isOpen);
      return quick.length > 0 ? quick : usable(service).filter(isOpen);
    },
    obstacle: (service, tried = new Set()) => {
      const fresh = usable(service).filter(({ record }) => !tried.has(record.instance));
      if (fresh.length === 0) return 'no-upstream';
      return fresh.some(({ rate }) => rate.waitMs() > 0)
        ? 'upstreams-rate-limited'
        : 'upstreams-full';
    },
    waitMs: (service) => {
      const waits = usable(service).map(({ rate }) => rate.waitMs());
      return waits.length === 0 ? 0 : Math.min(...waits);
    },
    choose: (service, tried) => {
      const isFresh = (upstream: Upstream): boolean =>
        !tried.has(upstream.record.instance) && isOpen(upstream);
      const fresh = usable(service).filter(isFresh);
      const quick = preferred(service).filter(isFresh);
      const sound = quick.filter((upstream) => !upstream.isSuspect());
      // Never all ejected: with every upstream suspect the least loaded is tried all the same.
      const those = [sound, quick, fresh].find(({ length }) => length > 0) ?? [];
      return cheapest(service, those);
    },
    isRefusing: (service) => {
      const all = usable(service);
      const refusing = all.filter((upstream) => upstream.isRefusing()).length;
      return all.length >= FEW_UPSTREAMS && refusing > all.length * MOST_REFUSING;
    },
    notePace: ({ host, port, startedAt, pace }) => {
      [...listed.values()]
        .filter(({ record }) => record.host === host && record.port === port)
        .filter(({ record }) => record.startedAt <= startedAt)
        .forEach((upstream) => {
          const before = upstream.pace();
          upstream.notePace(pace);
          if (upstream.pace() !== before) paceListeners.forEach((listener) => listener());
        });
    },
    notePeerLoad: (peer, { isWhole, counts }) => {
      listed.forEach((upstream, instance) => {
        const count = counts[instance] ?? (isWhole ? 0 : undefined);
        if (count !== undefined) {
          arrivals.note(upstream.record.service, upstream.notePeer(peer, count));
        }
      });
    },
    noteReplaced: (upstream) => {
      replaced.add(upstream);
      present = undefined;
      log.event('upstream-replaced', { upstream: upstream.record.instance });
    },
    all: () => [...listed.values(), ...[...lapsed.values()].map(({ upstream }) => upstream)],
  };
};
