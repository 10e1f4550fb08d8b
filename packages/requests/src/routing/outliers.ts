import type { Health } from './health.js';
import type { Pace } from './pace.js';
import type { EjectionReason } from './types.js';

/** What outlier detection looks at. */
interface Observed {
  pace: Pace;
  health: Health;
}

/** An upstream this many times slower than the median is ejected. */
const SLOW_FACTOR = 3;
/** Differences below this never matter, in milliseconds. */
const SLOW_MARGIN_MS = 100;
/** A started request that has no first byte after this many medians counts as stuck. */
const STUCK_FACTOR = 10;
/** … and at least this long, in milliseconds. */
const STUCK_LEAST_MS = 2_000;
/** So many requests that failed in a row make an upstream a failing one. */
const MOST_FAILURES = 5;
/** At most this share of the upstreams is ejected at a time. */
const MOST_EJECTED = 0.5;

const median = (values: readonly number[]): number | undefined =>
  [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)];

/**
 * One that refuses at once always has the least load and draws the most requests; neither its pace
 * nor its silence tells, so its failures are counted.
 */
const reasonToEject = (pace: Pace, medianMs: number | undefined): EjectionReason | undefined => {
  if (pace.failures() >= MOST_FAILURES) return 'failing';
  if (medianMs === undefined) return undefined;
  if (pace.oldestWaitMs() > Math.max(STUCK_LEAST_MS, STUCK_FACTOR * medianMs)) return 'silent';
  const smoothed = pace.smoothedMs();
  if (smoothed === undefined) return undefined;
  return smoothed > SLOW_FACTOR * medianMs + SLOW_MARGIN_MS ? 'slow' : undefined;
};

/**
 * The upstreams to eject, worst first. The measure is the median of the peers, so that a slow model
 * or a common overload ejects nobody; the cap keeps a wrong verdict from emptying the pool, which
 * would overload the rest and eject them in turn.
 */
export const ejectionsDue = <T extends Observed>(
  members: readonly T[],
): { member: T; reason: EjectionReason }[] => {
  const inService = members.filter(({ health }) => health.state() !== 'ejected');
  const paces = inService.map(({ pace }) => pace.smoothedMs()).filter((ms) => ms !== undefined);
  const medianMs = median(paces);
  const ejected = members.length - inService.length;
  const room = Math.floor(members.length * MOST_EJECTED) - ejected;
  const due = inService.flatMap((member) => {
    const reason = reasonToEject(member.pace, medianMs);
    return reason ? [{ member, reason }] : [];
  });
  const badness = ({ pace }: Observed) => Math.max(pace.smoothedMs() ?? 0, pace.oldestWaitMs());
  return due.sort((a, b) => badness(b.member) - badness(a.member)).slice(0, Math.max(0, room));
};
