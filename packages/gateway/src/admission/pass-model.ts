/**
 * How many streams a lock-step group can write while its passes stay short.
 *
 * The pattern: a pass grows with the streams of each engine, by constants that the engine states, and
 * by whatever else is the matter: an uneven expert map, a slow rank. The measured pass over the
 * predicted one tells how much that is. Where fewer streams bring passes back under the bound, those
 * beyond are refused. Where even few streams would see long passes, the cause isn't their number:
 * refusing would help nobody who is in flight, and a late answer is worth more to a caller than none.
 */

/** What an engine states of its passes. */
export interface PassTimes {
  /** One step without any stream, in ms. */
  stepMs: number;
  /** And for each stream that is written, in ms. */
  perStreamMs: number;
}

/** Passes grow in proportion to the streams, for engines that state nothing. */
export const proportionalPasses: PassTimes = { stepMs: 0, perStreamMs: 1 };

/** What is known of a group when its streams are limited. */
export interface PassState {
  times: PassTimes;
  /** Streams in flight, and the engines that they are spread over. */
  streams: number;
  engines: number;
  /** Time of a pass as streams show it, in ms, and the longest that is wanted. */
  passMs: number;
  boundMs: number;
}

/** The most streams whose passes stay within the bound; 0 where no number does. */
export const streamsWithin = (state: PassState): number => {
  const { times, streams, engines, passMs, boundMs } = state;
  const { stepMs, perStreamMs } = times;
  const predicted = stepMs + (perStreamMs * Math.max(1, streams)) / Math.max(1, engines);
  const step = (boundMs / Math.max(1, passMs)) * predicted;
  return Math.max(0, ((step - stepMs) / perStreamMs) * engines);
};
