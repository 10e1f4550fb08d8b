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
  /** Additional time of a step for each 1,000 tokens of the streams' contexts, in ms; 0 if not declared. */
  contextMsPerK?: number;
  /** Steps of a pass; 1 if not declared. */
  stride?: number;
  /** Rate at which prompts are read, in tokens per ms; undefined if not declared. */
  prefillTokensPerMs?: number;
  /** Maximum number of prompt tokens that one step reads; undefined if not declared. */
  chunk?: number;
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

/** Streams of a group, and the prompts that it reads. */
export interface GroupWork {
  streams: number;
  engines: number;
  /** Mean length of a stream's context, in tokens. */
  contextTokens: number;
  /** Streams that start at the group, per ms. */
  startsPerMs: number;
}

/** Largest fraction of a pass that reading prompts is assumed to take; above it the estimate diverges. */
const MAX_PREFILL_SHARE = 0.5;
const TOKENS_PER_K = 1_000;

/** Fraction of an engine's time that it reads prompts. */
const prefillShare = (times: PassTimes, work: GroupWork): number => {
  if (times.prefillTokensPerMs === undefined) return 0;
  const tokensPerMs = (work.startsPerMs * work.contextTokens) / Math.max(1, work.engines);
  return Math.min(MAX_PREFILL_SHARE, tokensPerMs / times.prefillTokensPerMs);
};

const timePerStream = (times: PassTimes, work: GroupWork): number =>
  times.perStreamMs + ((times.contextMsPerK ?? 0) * work.contextTokens) / TOKENS_PER_K;

/** Predicts the time of a group's pass by the declared times, in ms. */
export const predictPassMs = (times: PassTimes, work: GroupWork): number => {
  const perEngine = work.streams / Math.max(1, work.engines);
  const stepMs = times.stepMs + timePerStream(times, work) * perEngine;
  return ((times.stride ?? 1) * stepMs) / (1 - prefillShare(times, work));
};

/** Streams at which the predicted pass, multiplied by `ratio`, takes `boundMs`; 0 where no number does. */
export const streamsWithin = (
  times: PassTimes,
  work: GroupWork,
  ratio: number,
  boundMs: number,
): number => {
  const stepMs = ((boundMs / ratio) * (1 - prefillShare(times, work))) / (times.stride ?? 1);
  return Math.max(0, ((stepMs - times.stepMs) / timePerStream(times, work)) * work.engines);
};
