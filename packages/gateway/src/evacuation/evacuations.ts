/**
 * Data centres that operators have evacuated: no new attempt is sent to their upstreams until the request is withdrawn.
 *
 * Attempts that run there run to their end. The key of the request counts, not its value: a request that can't be read
 * must not be served as if there was none.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { KeyedChange } from '@plantaindrum/mirror';
import type { Exclusion } from '../upstreams/directory.js';
import type { Upstream } from '../upstreams/upstream.js';

/** The evacuated data centres, as this entry knows them. */
export interface Evacuations {
  /** Applies a change of a key in the operators' topic; keys of other kinds are ignored. */
  apply(change: KeyedChange): void;
  close(): void;
}

/** Options of `createEvacuations`. */
export interface EvacuationsOptions {
  /** Data centre whose evacuation a key requests; undefined for other keys. */
  decode: (key: string) => string | undefined;
  /** The evacuated data centres; kept up to date for `excludeEvacuated`. */
  dataCentres: Set<string>;
  /** All known upstreams. */
  upstreams: () => readonly Pick<Upstream, 'record' | 'inFlight' | 'recordMayHaveEnded'>[];
  /** Milliseconds since the operators' topic was last confirmed before this change: the request is no older. */
  intentAgeMs: () => number;
  /** Time after a request from which nothing new may reach the data centre, in milliseconds. */
  boundMs: () => number;
  /** Called after a data centre was evacuated. */
  onRequested: () => void;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Interval of the checks whether the requests to an evacuated data centre have ended, in ms. */
const EMPTY_CHECK_INTERVAL_MS = 250;

interface Evacuation {
  since: number;
  /** Whether no request of this entry has been there at the last check. */
  isEmpty: boolean;
}

/** Excludes the upstreams of the evacuated data centres. */
export const excludeEvacuated = (dataCentres: ReadonlySet<string>): Exclusion => ({
  reason: 'evacuated',
  excludes: ({ record }) => dataCentres.has(record.dataCentre),
});

/** Creates the evacuations of an entry that knows none. */
export const createEvacuations = (options: EvacuationsOptions): Evacuations => {
  const { decode, dataCentres, upstreams, clock, metrics, log } = options;
  const evacuated = new Map<string, Evacuation>();
  let stopTimer: (() => void) | undefined;

  const upstreamsAt = (dataCentre: string): ReturnType<typeof upstreams> =>
    upstreams().filter(({ record }) => record.dataCentre === dataCentre);

  const inFlightAt = (dataCentre: string): number =>
    upstreamsAt(dataCentre).reduce((sum, upstream) => sum + upstream.inFlight(), 0);

  const check = (): void => {
    evacuated.forEach((evacuation, dataCentre) => {
      const inFlight = inFlightAt(dataCentre);
      metrics.gauge('gateway_evacuating_in_flight', inFlight, { dataCentre });
      if (inFlight === 0 && !evacuation.isEmpty) {
        const ms = Math.round(clock.monotonic() - evacuation.since);
        log.event('evacuation-empty', { dataCentre, ms });
      }
      Object.assign(evacuation, { isEmpty: inFlight === 0 });
    });
    stopTimer = evacuated.size > 0 ? clock.after(EMPTY_CHECK_INTERVAL_MS, check) : undefined;
  };

  const request = (dataCentre: string): void => {
    if (evacuated.has(dataCentre)) return;
    dataCentres.add(dataCentre);
    evacuated.set(dataCentre, { since: clock.monotonic(), isEmpty: false });
    const age = options.intentAgeMs();
    log.event('evacuation-requested', {
      dataCentre,
      maxAgeMs: Number.isFinite(age) ? Math.round(age) : undefined,
      boundMs: options.boundMs(),
      inFlight: inFlightAt(dataCentre),
    });
    metrics.count('gateway_evacuations', { change: 'requested' });
    options.onRequested();
    stopTimer?.();
    check();
  };

  const withdraw = (dataCentre: string): void => {
    const evacuation = evacuated.get(dataCentre);
    if (!evacuation) return;
    dataCentres.delete(dataCentre);
    evacuated.delete(dataCentre);
    const ms = Math.round(clock.monotonic() - evacuation.since);
    log.event('evacuation-withdrawn', { dataCentre, ms });
    metrics.count('gateway_evacuations', { change: 'withdrawn' });
    // Operators start servers again while their data centre is evacuated; the list says so up to 1.7 s later.
    upstreamsAt(dataCentre).forEach((upstream) => upstream.recordMayHaveEnded());
    metrics.gauge('gateway_evacuating_in_flight', 0, { dataCentre });
  };

  return {
    apply: ({ key, value }) => {
      const dataCentre = decode(key);
      if (dataCentre === undefined) return;
      if (value === undefined) withdraw(dataCentre);
      else request(dataCentre);
    },
    close: () => stopTimer?.(),
  };
};
