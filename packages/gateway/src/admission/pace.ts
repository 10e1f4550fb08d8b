import { createAnswerTimes } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** How fast the engines of one service make events, as the streams through this entry show it. */
export interface PaceMeter {
  /** An event of a stream came this long after the one before it. */
  notePause(ms: number): void;
  /** The first event of an attempt came this long after it was sent, in ms. */
  noteFirst(ms: number): void;
  /** An attempt had no event after this long, in ms, and was given up. */
  noteNone(ms: number): void;
  /**
   * Time without a first event after which an attempt's upstream is taken for dead, in ms. A request that waits
   * for a place, or whose prompt is being read, is as silent as one at a dead upstream; but so are the others.
   */
  firstLimit(): number;
  /** Pause that the given share of recent ones stays below; undefined without recent events. */
  pause(share: number): number | undefined;
  /** Milliseconds since any stream of the service had an event. */
  silence(): number;
}

/** Recent means within this time, in ms: some ten passes of a group. */
const WINDOW_MS = 600;
/** Most samples that are kept: a bound on memory under a burst. */
const MAX_SAMPLES = 512;

/**
 * Bounds of the time to a first event, in ms: well above a pass of a group; and the time after which callers
 * give up a stream that has brought nothing, so that another attempt would be in vain.
 */
const FIRST_EVENT = { first: 900, least: 900, most: 2_000 };

interface Sample {
  at: number;
  ms: number;
}

const quantile = (samples: readonly Sample[], share: number): number | undefined => {
  if (samples.length === 0) return undefined;
  const sorted = samples.map(({ ms }) => ms).sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
};

/** Creates the meter of one service. */
export const createPaceMeter = (clock: Clock): PaceMeter => {
  let pauses: Sample[] = [];
  let lastAt = -Infinity;
  const firsts = createAnswerTimes(() => FIRST_EVENT);

  const recent = (samples: Sample[]): Sample[] => {
    const oldest = clock.monotonic() - WINDOW_MS;
    return samples.filter(({ at }) => at >= oldest).slice(-MAX_SAMPLES);
  };
  const add = (samples: Sample[], ms: number): Sample[] => {
    lastAt = clock.monotonic();
    samples.push({ at: lastAt, ms });
    return samples.length > 2 * MAX_SAMPLES ? recent(samples) : samples;
  };

  return {
    notePause: (ms) => {
      pauses = add(pauses, ms);
    },
    noteFirst: (ms) => {
      lastAt = clock.monotonic();
      firsts.note('first', ms);
    },
    noteNone: (ms) => firsts.note('first', ms),
    firstLimit: () => firsts.limit('first'),
    pause: (share) => {
      pauses = recent(pauses);
      return quantile(pauses, share);
    },
    silence: () => clock.monotonic() - lastAt,
  };
};
