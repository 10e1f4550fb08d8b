/** Figures of one scenario, from what callers and upstreams saw. */

import type { PromptCall } from './callers.js';

/** What was observed; all times are monotonic, in ms. */
export interface Observed {
  calls: readonly PromptCall[];
  /** Arrivals at upstreams of requests with a harmful part, with the part. */
  arrivals: readonly { part: string; at: number }[];
  crashes: readonly { part: string | undefined; at: number }[];
  /** When requests with a harmful part, or mass crashes, begin, and when callers stop. */
  beginsAt: number;
  endsAt: number;
  isCompanion: (call: PromptCall) => boolean;
  /** When entries first refused requests with a part. */
  refusals: readonly { entry: number; part: string; at: number }[];
}

/** Figures of a case; the fields of the same name of the experiment are those of all cases. */
export interface CaseFigures {
  entries: number;
  upstreamsCrashed: number;
  sentAfterBound: number;
  soundBegunBefore: number;
  soundBegunDuring: number;
  /** Number of requests of which `soundBegunDuring` is the share, and how those that didn't begin ended. */
  soundDuring: number;
  soundFailedDuring: Readonly<Record<string, number>>;
  soundRefused: number;
  /** Time from a crash until all entries refuse requests with the part that caused it, in ms; undefined if not all did. */
  knownMs: number | undefined;
}

/** Time from which a machine that is calm has to keep the rules, in ms. */
export const STABILITY_WINDOW_MS = 3_000;
/** Crashes that a part may cause before it has to be known. */
const FREE_CRASHES = 5;
/** Reasons of refusals on account of crashes. */
const CRASH_REASONS: ReadonlySet<string> = new Set([
  'quarantined',
  'part-quarantined',
  'crash-suspect',
]);

const hasBegun = ({ status }: PromptCall): boolean => status >= 200 && status < 300;

const begunShare = (calls: readonly PromptCall[]): number =>
  calls.length === 0 ? 0 : calls.filter(hasBegun).length / calls.length;

const countFailures = (calls: readonly PromptCall[]): Record<string, number> =>
  calls
    .filter((call) => !hasBegun(call))
    .map(({ status, reason }) => `${status} ${reason}`.trim())
    .reduce<Record<string, number>>(
      (counts, end) => ({ ...counts, [end]: (counts[end] ?? 0) + 1 }),
      {},
    );

/** The crash from which the part has to be known: the fifth of a part, or its last one if there are fewer. */
const boundCrashAt = ({ crashes }: Pick<Observed, 'crashes'>, part: string): number => {
  const own = crashes.filter((crash) => (crash.part ?? '') === part);
  return own[FREE_CRASHES - 1]?.at ?? own.at(-1)?.at ?? Infinity;
};

/** The crash from which all parts have to be known; undefined before the first one. */
export const lastBoundCrashAt = (observed: Pick<Observed, 'crashes'>): number | undefined => {
  const parts = new Set(observed.crashes.map(({ part }) => part ?? ''));
  return parts.size === 0
    ? undefined
    : Math.max(...[...parts].map((part) => boundCrashAt(observed, part)));
};

/** Time from the last crash that was needed as evidence until all entries knew the first part that they refuse. */
const computeKnownMs = ({ refusals, crashes }: Observed, entries: number): number | undefined => {
  const [first] = refusals;
  if (!first) return undefined;
  const knownAt = Array.from(
    { length: entries },
    (_, n) =>
      refusals.find(({ entry, part }) => entry === n && part === first.part)?.at ?? Infinity,
  );
  const crashAt = crashes.filter(({ at }) => at <= first.at).at(-1)?.at ?? Infinity;
  const ms = Math.max(...knownAt) - crashAt;
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
};

/** Computes the figures. */
export const computeFigures = (observed: Observed, entries: number): CaseFigures => {
  const { calls, arrivals, crashes, beginsAt, endsAt } = observed;
  const parts = [...new Set(arrivals.map(({ part }) => part))];
  const countLate = (part: string): number => {
    const own = crashes.filter((crash) => crash.part === part);
    const fifthAt = own[FREE_CRASHES - 1]?.at ?? Infinity;
    return arrivals.filter(
      (arrival) => arrival.part === part && arrival.at > fifthAt + STABILITY_WINDOW_MS,
    ).length;
  };
  const sound = calls.filter((call) => !call.request.isHarmful);
  const companions = sound.filter(observed.isCompanion);
  const lastBoundAt =
    parts.length === 0 ? beginsAt : Math.max(...parts.map((part) => boundCrashAt(observed, part)));
  const duringFrom = lastBoundAt + 2 * STABILITY_WINDOW_MS;
  const isDuring = ({ sentAt }: PromptCall): boolean => sentAt >= duringFrom && sentAt < endsAt;
  const during = companions.filter(isDuring);
  // Without a harmful part each refusal counts, from the first crash on.
  const refusedFrom = parts.length === 0 ? beginsAt : duringFrom;
  return {
    entries,
    upstreamsCrashed: crashes.length,
    sentAfterBound: Math.max(0, ...parts.map(countLate)),
    soundBegunBefore: begunShare(companions.filter(({ sentAt }) => sentAt < beginsAt)),
    soundBegunDuring: begunShare(during),
    soundDuring: during.length,
    soundFailedDuring: countFailures(during),
    knownMs: computeKnownMs(observed, entries),
    soundRefused: sound.filter(
      ({ sentAt, reason }) => sentAt >= refusedFrom && CRASH_REASONS.has(reason),
    ).length,
  };
};
