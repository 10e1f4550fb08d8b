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
  /** The same of the last seconds' passes. */
  passOver(share: number): number | undefined;
  /** A stream has ended; whether it had a pause over its target. */
  noteStream(isLate: boolean): void;
  /** Share of late streams, as high as it was in the last seconds. */
  lateShare(): number;
  /** Milliseconds since any stream of the service had an event. */
  silence(): number;
}

/** Recent means within this time, in ms: some ten passes of a group. */
const WINDOW_MS = 600;
/** Passes of this time are told apart as usual and long, in ms: a shift or two of popularity. */
const PASSES_MS = 3_000;
/** All streams of a group pause together: one sample in this time stands for a pass, in ms. */
const PASS_SAMPLE_MS = 40;
/** Weight of one stream in the share that is late: some twenty, two seconds of an entry's, are remembered. */
const LATE_WEIGHT = 0.05;
/**
 * Time after which a share of late streams counts 1/e, in ms. A limit that keeps streams on time would else take its
 * own ground away, and the group would be full again a second later.
 */
const LATE_MEMORY_MS = 5_000;
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

  let passes: Sample[] = [];
  let lateNow = 0;
  let late = { share: 0, at: clock.monotonic() };

  const lateShare = (): number => {
    const remembered = late.share * Math.exp((late.at - clock.monotonic()) / LATE_MEMORY_MS);
    return Math.max(lateNow, remembered);
  };

  const notePass = (ms: number): void => {
    const now = clock.monotonic();
    if (now - (passes.at(-1)?.at ?? -Infinity) < PASS_SAMPLE_MS) return;
    passes = passes.filter(({ at }) => at >= now - PASSES_MS);
    passes.push({ at: now, ms });
  };

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
      notePass(ms);
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
    passOver: (share) => quantile(passes, share),
    noteStream: (isLate) => {
      lateNow += ((isLate ? 1 : 0) - lateNow) * LATE_WEIGHT;
      late = { share: lateShare(), at: clock.monotonic() };
    },
    lateShare,
    silence: () => clock.monotonic() - lastAt,
  };
};
