/** The upstreams in the platform's list, and those whose entry has lapsed recently. */

import type { Clock, EventLog, Metrics, Result } from '@plantaindrum/common';
import type { KeyedChange } from '@plantaindrum/mirror';
import type { UpstreamRecordFault, UpstreamRecord } from '../types.js';
import { createInvalidEntryRecorder } from './invalid-entries.js';
import { createKnownStarts } from './known-starts.js';
import { createUpstream } from './upstream.js';
import type { Upstream } from './upstream.js';
import { createWarmupLimit } from './warmup-limit.js';
import type { EntrySharing, WarmupBounds, WarmupLimit } from './warmup-limit.js';

/** Upstreams as the platform lists them. */
export interface UpstreamList {
  /** Applies a change of the platform's list. */
  apply(change: KeyedChange): void;
  /** Upstreams of a service that are ready; if none is listed, those whose entry has lapsed recently. */
  ready(service: string): Upstream[];
  /** Records that another instance responded at this one's address. */
  recordReplaced(upstream: Upstream): void;
  /** Upstreams in the list by instance, in any state. */
  listed: ReadonlyMap<string, Upstream>;
  /** All upstreams that are known, including those whose entry has lapsed recently. */
  all(): Upstream[];
}

/** Decodes an entry of the platform's list. */
export type DecodeUpstream = (
  key: string,
  value: Uint8Array,
) => Result<UpstreamRecord, UpstreamRecordFault>;

/** Options of `createUpstreamList`. */
export interface UpstreamListOptions {
  decode: DecodeUpstream;
  /** Called when an upstream's process has exited: it has started again, or another one is listed at its address. */
  onExited: (upstream: UpstreamRecord) => void;
  /** Fraction of the entries that this one is connected with, for limits that hold for all entries together. */
  connectedFraction: () => number;
  /** Bounds on requests to a service's cold upstreams; undefined if it declares no warm-up. */
  warmupBounds?: (service: string) => WarmupBounds | undefined;
  /** The entries that share these bounds; undefined while they are not known yet. */
  entrySharing?: () => EntrySharing | undefined;
  /** When the platform's log became available again after an outage (monotonic, ms). */
  logRecoveredAt: () => number;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/**
 * How long an upstream whose entry has lapsed is used if no other upstream of its service is listed, in ms, from the
 * lapse or from the end of an outage of the log. A running upstream writes its entry again about two seconds after such
 * an outage.
 */
const LAPSED_GRACE_MS = 2_000;
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

/** Creates an empty list. */
export const createUpstreamList = (options: UpstreamListOptions): UpstreamList => {
  const { decode, logRecoveredAt, clock, metrics, log } = options;
  const listed = new Map<string, Upstream>();
  const lapsed = new Map<string, { upstream: Upstream; at: number }>();
  const leaving = new Set<string>();
  const replaced = new WeakSet<Upstream>();
  const knownStarts = createKnownStarts();
  /** Includes upstreams whose entry has lapsed: one that crashed starts again only after that. */
  const lastAtAddress = new Map<string, UpstreamRecord>();
  const recordInvalidEntry = createInvalidEntryRecorder(metrics, log);
  /** Listed upstreams that are at their address; computed again after each change of the list. */
  let presentUpstreams: Upstream[] | undefined;

  const forget = (instance: string): void => {
    presentUpstreams = undefined;
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

  const createWarmup = ({ instance, service }: UpstreamRecord): WarmupLimit =>
    createWarmupLimit({
      instance,
      bounds: () => options.warmupBounds?.(service),
      sharing: () => options.entrySharing?.(),
      onCold: (leftMs, source) => {
        log.event('upstream-cold', { upstream: instance, service, leftMs, source });
      },
      clock,
    });

  const createStart = (record: UpstreamRecord, before: Upstream | undefined): Upstream => {
    const warmup = before?.warmup ?? createWarmup(record);
    return createUpstream(record, clock, options.connectedFraction, warmup);
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
    const before = listed.get(instance) ?? lapsed.get(instance)?.upstream;
    if (status === 'later-start') {
      forget(instance);
      before?.warmup?.recordStart();
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
    const upstream = known ?? createStart(effective, before);
    // Most entries are written again with a new sequence number only, which leaves the same upstreams present.
    const isListedThere =
      listed.get(instance) === upstream && addressOf(upstream.record) === addressOf(effective);
    if (!isListedThere) presentUpstreams = undefined;
    upstream.update(effective);
    listed.set(record.instance, upstream);
  };

  const remove = (instance: string): void => {
    const upstream = listed.get(instance);
    presentUpstreams = undefined;
    listed.delete(instance);
    if (!upstream) return;
    log.event('upstream-gone', { upstream: instance, service: upstream.record.service });
    if (leaving.delete(instance)) {
      knownStarts.recordLeft(instance);
      return;
    }
    knownStarts.recordRemoved(instance);
    upstream.recordMayHaveEnded();
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

  const ready = (service: string): Upstream[] => {
    presentUpstreams ??= latestAtEachAddress(
      [...listed.values()].filter((each) => !replaced.has(each)),
    );
    const present = presentUpstreams.filter((upstream) => isReady(upstream, service));
    return present.length > 0 ? present : lapsedOf(service);
  };

  return {
    apply: ({ key, value }) => {
      if (value === undefined) {
        remove(key);
        return;
      }
      const entry = decode(key, value);
      if (entry.ok) add(entry.value);
      // What is known under this key stays valid: the upstream itself writes the entry again, or it lapses.
      else recordInvalidEntry(key, value, entry.err);
    },
    ready,
    recordReplaced: (upstream) => {
      replaced.add(upstream);
      presentUpstreams = undefined;
      log.event('upstream-replaced', { upstream: upstream.record.instance });
    },
    listed,
    all: () => [...listed.values(), ...[...lapsed.values()].map(({ upstream }) => upstream)],
  };
};
