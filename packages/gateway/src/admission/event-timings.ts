/** Timing of the events of a service's streams: pauses between events, and the time to the first one. */

import { createAdaptiveTimeouts } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** Event timings of one service, as observed on the streams through this entry. */
export interface EventTimings {
  /** Records the time between two successive events of a stream, in ms. */
  recordPause(ms: number): void;
  /** Records the time from sending an attempt to its first event, in ms. */
  recordFirstEvent(ms: number): void;
  /** Records that an attempt was given up without an event after this time, in ms. */
  recordTimeout(ms: number): void;
  /**
   * Time without a first event after which an attempt's upstream is considered failed, in ms. It follows the observed
   * times: while requests queue for a slot or long prompts are read, live upstreams are silent for longer, too.
   */
  firstEventTimeoutMs(): number;
  /** Quantile of the recent pauses, in ms; undefined without recent events. */
  pauseQuantile(quantile: number): number | undefined;
  /** Time since the last event of any stream of the service, in ms. */
  silenceMs(): number;
}

/** Age up to which pauses count as recent, in ms: some ten passes of a group. */
const WINDOW_MS = 600;
/** Max pauses kept: bounds the memory used in a burst. */
const MAX_SAMPLES = 512;

/**
 * Bounds of the time to a first event, in ms. The lower one is well above a pass of a group. Callers give up a
 * stream without any event after the upper one, so that a later attempt would be in vain.
 */
const FIRST_EVENT_TIMEOUT_MS = { first: 900, min: 900, max: 2_000 };

interface Sample {
  at: number;
  ms: number;
}

const quantileOf = (samples: readonly Sample[], quantile: number): number | undefined => {
  if (samples.length === 0) return undefined;
  const sorted = samples.map(({ ms }) => ms).sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
};

/** Creates the event timings of one service. */
export const createEventTimings = (clock: Clock): EventTimings => {
  let pauses: Sample[] = [];
  let lastEventAt = -Infinity;
  const firstEventTimes = createAdaptiveTimeouts(() => FIRST_EVENT_TIMEOUT_MS);

  const recent = (samples: Sample[]): Sample[] => {
    const oldest = clock.monotonic() - WINDOW_MS;
    return samples.filter(({ at }) => at >= oldest).slice(-MAX_SAMPLES);
  };
  const add = (samples: Sample[], ms: number): Sample[] => {
    lastEventAt = clock.monotonic();
    samples.push({ at: lastEventAt, ms });
    return samples.length > 2 * MAX_SAMPLES ? recent(samples) : samples;
  };

  return {
    recordPause: (ms) => {
      pauses = add(pauses, ms);
    },
    recordFirstEvent: (ms) => {
      lastEventAt = clock.monotonic();
      firstEventTimes.record('first', ms);
    },
    recordTimeout: (ms) => firstEventTimes.record('first', ms),
    firstEventTimeoutMs: () => firstEventTimes.timeoutMs('first'),
    pauseQuantile: (quantile) => {
      pauses = recent(pauses);
      return quantileOf(pauses, quantile);
    },
    silenceMs: () => clock.monotonic() - lastEventAt,
  };
};
