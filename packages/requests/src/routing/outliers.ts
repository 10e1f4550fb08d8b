import type { Health } from './health.js';
import type { FirstByteLatency } from './first-byte-latency.js';
import type { EjectionReason } from './types.js';

/** The measurements that outlier detection uses. */
interface ObservedUpstream {
  latency: FirstByteLatency;
  health: Health;
}

/** An upstream is slow above this multiple of the median latency … */
const SLOW_FACTOR = 3;
/** … plus this margin, in milliseconds, so that small differences don't count. */
const SLOW_MARGIN_MS = 100;
/** A started request without a first byte is stuck after this multiple of the median … */
const STUCK_FACTOR = 10;
/** … but not before this time, in milliseconds. */
const MIN_STUCK_MS = 2_000;
/** An upstream is failing after this many consecutive failures. */
const MAX_CONSECUTIVE_FAILURES = 5;
/** Largest fraction of the upstreams that is ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5;

const median = (values: readonly number[]): number | undefined =>
  [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)];

/**
 * Why an upstream has to be ejected, if it has to. Failures are counted because an upstream that
 * refuses at once has the lowest load and attracts the most requests, while neither its latency nor
 * a missing first byte shows the fault.
 */
const ejectionReason = (
  latency: FirstByteLatency,
  medianMs: number | undefined,
): EjectionReason | undefined => {
  if (latency.consecutiveFailures() >= MAX_CONSECUTIVE_FAILURES) return 'failing';
  if (medianMs === undefined) return undefined;
  if (latency.oldestWaitMs() > Math.max(MIN_STUCK_MS, STUCK_FACTOR * medianMs)) return 'silent';
  const smoothedMs = latency.smoothedMs();
  if (smoothedMs === undefined) return undefined;
  return smoothedMs > SLOW_FACTOR * medianMs + SLOW_MARGIN_MS ? 'slow' : undefined;
};

/**
 * Returns the upstreams to eject, worst first. Each is compared with the median of its peers, so
 * that a slow model or an overload of all ejects none. The limit on ejections keeps wrong decisions
 * from emptying the pool, which would overload the remaining upstreams and eject them as well.
 */
export const selectEjections = <T extends ObservedUpstream>(
  members: readonly T[],
): { member: T; reason: EjectionReason }[] => {
  const inService = members.filter(({ health }) => health.state() !== 'ejected');
  const latencies = inService
    .map(({ latency }) => latency.smoothedMs())
    .filter((ms) => ms !== undefined);
  const medianMs = median(latencies);
  const ejected = members.length - inService.length;
  const maxMoreEjections = Math.floor(members.length * MAX_EJECTED_SHARE) - ejected;
  const outliers = inService.flatMap((member) => {
    const reason = ejectionReason(member.latency, medianMs);
    return reason ? [{ member, reason }] : [];
  });
  const severityMs = ({ latency }: ObservedUpstream) =>
    Math.max(latency.smoothedMs() ?? 0, latency.oldestWaitMs());
  return outliers
    .sort((a, b) => severityMs(b.member) - severityMs(a.member))
    .slice(0, Math.max(0, maxMoreEjections));
};
