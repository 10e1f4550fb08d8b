/**
 * How fast the streams of a group may grow in number.
 * Load pattern: a group that opens, or loses its load for a moment, before hundreds of waiting callers. Their prompts are
 * read in the same passes, which makes these long for all streams, although there is room for them.
 */

import type { Clock } from '@plantaindrum/common';

/** Limit on the growth of a group's streams. */
export interface Ramp {
  /** Streams that may be in flight now, given those that are. */
  limit(streams: number, engines: number): number;
}

/** Period over which the growth is limited, in ms: about a pass near the target. */
const PERIOD_MS = 100;
/** New streams for each engine and period. A prompt of 1,000 tokens takes an engine a sixth of a pass to read. */
const STREAMS_PER_ENGINE = 0.5;
/** New streams for each period that groups of few engines may get. */
const MIN_STREAMS = 4;
/** Interval at which the number of streams is remembered, in ms. */
const SAMPLE_INTERVAL_MS = 10;

/** Creates the limit of a group without streams. */
export const createRamp = (clock: Clock): Ramp => {
  let samples: { at: number; streams: number }[] = [];
  return {
    limit: (streams, engines) => {
      const now = clock.monotonic();
      const last = samples.at(-1);
      if (!last || now - last.at >= SAMPLE_INTERVAL_MS) {
        samples = [...samples.filter(({ at }) => at > now - PERIOD_MS), { at: now, streams }];
      }
      const lowest = samples.reduce((min, sample) => Math.min(min, sample.streams), streams);
      return lowest + Math.max(MIN_STREAMS, STREAMS_PER_ENGINE * engines);
    },
  };
};
