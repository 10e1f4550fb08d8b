/**
 * Estimates how many streams a lock-step group can serve while its passes stay short.
 *
 * The time of a pass grows with the streams of each engine, by constants that the engine declares, and with
 * disturbances such as an uneven expert map or a slow rank. The ratio of the measured to the predicted pass time
 * shows the extent of these disturbances. Where fewer streams would bring passes back under the bound, streams beyond
 * that number are refused. Where even a few streams would see long passes, their number isn't the cause: refusing
 * others would not help those in flight, and a late answer is worth more to a caller than none.
 */

/** Pass times that an engine declares. */
export interface PassTimes {
  /** One step without any stream, in ms. */
  stepMs: number;
  /** Additional time for each stream, in ms. */
  perStreamMs: number;
}

/** Pass times proportional to the number of streams, for engines that declare none. */
export const proportionalPassTimes: PassTimes = { stepMs: 0, perStreamMs: 1 };

/** State of a group at the time its stream limit is computed. */
export interface PassState {
  times: PassTimes;
  /** Streams in flight, and the number of engines that they are spread over. */
  streams: number;
  engines: number;
  /** Pass time as measured on the streams, and its upper bound, in ms. */
  passMs: number;
  boundMs: number;
}

/** Max streams in flight whose passes stay within the bound; 0 where no number does. */
export const maxStreamsWithin = (state: PassState): number => {
  const { times, streams, engines, passMs, boundMs } = state;
  const { stepMs, perStreamMs } = times;
  const predictedPassMs = stepMs + (perStreamMs * Math.max(1, streams)) / Math.max(1, engines);
  const allowedPassMs = (boundMs / Math.max(1, passMs)) * predictedPassMs;
  return Math.max(0, ((allowedPassMs - stepMs) / perStreamMs) * engines);
};
