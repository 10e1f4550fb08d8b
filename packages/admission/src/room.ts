/**
 * Room of a group: how many streams it can hold while its passes stay within the target pause of these streams.
 * Load pattern: demand above the capacity, where filling all slots makes every stream late at once.
 *
 * A stream is late if the longest of its pauses exceeds the target. Passes are longest for a moment after a shift of
 * expert demand, until the expert map has changed; by then it is too late to hold streams back. So the room is chosen
 * from the peaks of the last seconds: the number of streams that serves the most, with a late stream counted in part.
 * With fewer streams passes are shorter, so that the throughput falls by much less than the number of streams.
 */

import type { Clock } from '@plantaindrum/common';
import type { GroupWork, PassTimes } from './pass-model.js';
import { predictPassMs, streamsWithin } from './pass-model.js';
import { createPassRatios } from './pass-ratios.js';

/** What the room of a group depends on. */
export interface RoomInputs extends GroupWork {
  slots: number;
  times: PassTimes;
  /** Long pauses between events at the group just now, in ms; undefined without recent events. */
  pauseMs: number | undefined;
  /** Shortest target for the pause of the group's streams, in ms; undefined if none has one. */
  targetPauseMs: number | undefined;
}

/** Streams that a group can hold. */
export interface RoomSize {
  /** Streams up to which waiting requests are sent. */
  target: number;
  /** Streams beyond which passes exceed the target pause. */
  max: number;
}

/** Room of one group. */
export interface Room {
  /** Computes the room from the current inputs, at most once per `UPDATE_PERIOD_MS`. */
  update(inputs: RoomInputs): RoomSize;
}

/** Period of updates, in ms: about a pass of a group near its target. */
const UPDATE_PERIOD_MS = 100;
/** Fraction of the target pause that queued requests may fill up; the rest covers variations between passes. */
const TARGET_FRACTION = 0.95;
/** Fraction of the slots below which the number of streams isn't the cause of long pauses. */
const MIN_SLOT_FRACTION = 0.25;
/** Worth of a late stream, relative to one on time; the users' classes have 0.3 to 0.5. */
const LATE_WORTH = 0.4;
/** Periods of the peaks that a stream lasts. */
const PERIODS_PER_STREAM = 2;
/** Weight of the latest number of streams: the observed pauses began a pass or two ago. */
const STREAMS_WEIGHT = 0.5;
/** Relative change of the room below which it stays as it is. */
const MIN_CHANGE = 0.03;

/** Creates the room of a group that has served nothing yet. */
export const createRoom = (clock: Clock): Room => {
  const ratios = createPassRatios(clock);
  let updatedAt = -Infinity;
  let meanStreams: number | undefined;
  let size: RoomSize | undefined;

  const observe = (inputs: RoomInputs): void => {
    const streams = meanStreams ?? inputs.streams;
    meanStreams = streams + STREAMS_WEIGHT * (inputs.streams - streams);
    if (inputs.pauseMs === undefined) return;
    const predictedMs = predictPassMs(inputs.times, { ...inputs, streams: meanStreams });
    ratios.record(inputs.pauseMs / Math.max(1, predictedMs));
  };

  /** Worth that is earned per ms with this many streams, of which a fraction is on time. */
  const worthOf = (inputs: RoomInputs, streams: number, onTime: number): number => {
    const passMs = ratios.mean() * predictPassMs(inputs.times, { ...inputs, streams });
    return (streams / passMs) * (onTime + LATE_WORTH * (1 - onTime));
  };

  const compute = (inputs: RoomInputs): RoomSize => {
    const { slots, times, targetPauseMs } = inputs;
    const all = { target: slots, max: slots };
    const peaks = ratios.peaks();
    if (targetPauseMs === undefined || peaks.length === 0) return all;
    const within = (ratio: number, boundMs: number): number =>
      Math.min(slots, streamsWithin(times, inputs, ratio, boundMs));
    let best = { worth: -1, size: all };
    peaks.forEach((peak, at) => {
      const max = within(peak, targetPauseMs);
      // Fewer streams wouldn't help: the number of streams isn't the cause of these pauses.
      if (max < MIN_SLOT_FRACTION * slots) return;
      const target = Math.max(
        MIN_SLOT_FRACTION * slots,
        within(peak, targetPauseMs * TARGET_FRACTION),
      );
      const onTime = ((at + 1) / peaks.length) ** PERIODS_PER_STREAM;
      const worth = worthOf(inputs, target, onTime);
      if (worth >= best.worth) best = { worth, size: { target, max } };
    });
    // No stream is on time with all slots in use, unless the smallest peak allows it.
    return worthOf(inputs, slots, 0) > best.worth ? all : best.size;
  };

  return {
    update: (inputs) => {
      const now = clock.monotonic();
      const isWithinSlots = size !== undefined && size.max <= inputs.slots;
      const isDue = now - updatedAt >= UPDATE_PERIOD_MS;
      if (size && isWithinSlots && !isDue) return size;
      if (isDue) observe(inputs);
      updatedAt = now;
      const next = compute(inputs);
      const isSmallChange =
        size !== undefined &&
        isWithinSlots &&
        Math.abs(next.target - size.target) < MIN_CHANGE * size.target;
      if (!size || !isSmallChange) size = next;
      return size;
    },
  };
};
