/**
 * How many streams a lock-step group may write so that its longest passes, too, stay within the target.
 *
 * The pattern: popularity of experts shifts every few seconds, and until the map has changed two to four passes take
 * half as long again. One pause over the target makes a stream late, and a stream lasts from one shift to the
 * next. Near the limit that is a trap: a tenth more requests make the passes after a shift too long, streams stay
 * longer, more are in flight, and all passes grow. In a group of 63 ranks nine in ten streams were on time at
 * 190 requests a second, and two in ten at 210, for as long as that lasted. Turning one in ten away to come back a
 * moment later keeps the others on time.
 *
 * So the limit is set by the longest passes of the last seconds, not by the usual ones; but only where streams are
 * late in fact, and where fewer would be turned away than are late. Where the longest passes are too long however
 * few streams there are, nobody is turned away for them.
 */

import { streamsWithin } from './pass-model.js';
import type { PassState } from './pass-model.js';

/** What is known of a group's passes. */
export interface GuardState extends Omit<PassState, 'passMs' | 'boundMs'> {
  /** The usual pass of the last seconds and the longest but a few, in ms. */
  usualMs: number;
  longMs: number;
  /** Longest pause between two events that is on time, in ms. */
  targetMs: number;
  /** Share of streams that had a longer pause. */
  lateShare: number;
}

/** What a late stream is worth to its caller, over one on time: it is read, but it has stuttered. */
const LATE_VALUE = 0.5;
/** Gain, as a share of the streams, below which nobody is turned away: what is known is a second old. */
const LEAST_GAIN = 0.1;

/** The most streams whose longest passes stay within the target; undefined where a limit costs more than it saves. */
export const streamsOnTime = (state: GuardState): number | undefined => {
  const { usualMs, longMs, targetMs, lateShare, streams } = state;
  if (longMs <= targetMs || usualMs <= 0 || streams <= 0) return undefined;
  const boundMs = (usualMs * targetMs) / longMs;
  const within = streamsWithin({ ...state, passMs: usualMs, boundMs });
  // Streams that end in a second: as many as are written, over the time of a pass.
  const kept = (within / streams) * (usualMs / boundMs);
  const saved = lateShare * (1 - LATE_VALUE);
  return saved - (1 - kept) > LEAST_GAIN ? within : undefined;
};
