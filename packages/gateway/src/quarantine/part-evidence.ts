/**
 * Finds parts of prompts that crash upstreams, from the crashes in which requests with them were in flight.
 *
 * Requests that share a harmful part may differ in everything else, so evidence about single requests never adds up.
 * All parts of the requests in flight at a crash are suspect. A part is cleared when a request with it succeeds. A part
 * that hasn't succeeded since the first of several crashes, one after the other, and that explains most crashes of that
 * time, is a cause.
 */

import type { Clock } from '@plantaindrum/common';
import { countSuccessiveCrashes } from './crash-evidence.js';

/** A request that was in flight at an upstream when its process ended (times monotonic, ms). */
export interface PartCrash {
  /** Identifies the start of the upstream that ended. */
  instance: string;
  /** Fingerprint of the request. */
  fingerprint: string;
  sharedParts: readonly string[];
  sentAt: number;
  endedAt: number;
  /** Node name of the entry that sent the request. */
  reporter: string;
}

/** Evidence about parts of prompts. */
export interface PartEvidence {
  /** Records a crash; false if it was known. */
  recordCrash(crash: PartCrash): boolean;
  /** Records that a request with this part succeeded; true if that clears the part of a crash. */
  recordSuccess(part: string, at: number): boolean;
  /** When a request with this part last succeeded; undefined if that isn't known. */
  lastSuccessAt(part: string): number | undefined;
  /** Returns the parts for which a request is refused; undefined if it may be sent. */
  causeIn(sharedParts: readonly string[]): readonly string[] | undefined;
  /** All crashes that are remembered, the oldest first. */
  crashes(): readonly PartCrash[];
  /** Drops the crashes that an entry reported. */
  forgetReporter(reporter: string): void;
}

/** Age at which a crash no longer counts, in ms. */
const EVIDENCE_TTL_MS = 600_000;
/** Maximum number of crashes that are remembered; the oldest are dropped first. */
const MAX_CRASHES = 512;
/** Maximum number of parts whose last success is remembered. */
const MAX_SUCCESSES = 4_096;
/** Successive crashes from which a part is a cause, and the number of different requests among them. */
const MIN_CRASHES = 3;
const MIN_REQUESTS = 2;
/** The same for a part with which requests have succeeded before: it is more likely popular than harmful. */
const MIN_CRASHES_AFTER_SUCCESS = 4;
/** Fraction of the crashes since its first one that a part has to explain; when many upstreams crash, chance explains some. */
const MIN_EXPLAINED_FRACTION = 0.4;
/** Successive crashes from which a part is a cause whatever else crashes. */
const MIN_CRASHES_AMONG_OTHERS = 6;
/** Fraction of the upstreams that ended together of which a part has to explain the end: few of many are chance. */
const MIN_MOMENT_FRACTION = 0.5;
/** Upstreams whose ends are no further apart ended together, for example by a loss of power, in ms. */
const SAME_MOMENT_MS = 250;
/** How often the causes are computed again for crashes that have become too old, in ms. */
const MAX_CAUSES_AGE_MS = 10_000;

/** A part or inseparable parts, with the crashes in which requests with them were in flight. */
interface Suspect {
  /** Parts that occur in the same requests only, so that the evidence can't tell them apart. */
  parts: string[];
  crashes: PartCrash[];
  instances: ReadonlySet<string>;
  requests: ReadonlySet<string>;
  hasSucceeded: boolean;
}

/** Drops a map's oldest entry when it exceeds the size. */
const dropOldest = (map: Map<string, unknown>, maxSize: number): void => {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) map.delete(oldest);
};

/** Reduces the requests at each upstream to one crash, sent with the last of them. */
const crashesByInstance = (crashes: readonly PartCrash[]): PartCrash[] => {
  const byInstance = new Map<string, PartCrash>();
  crashes.forEach((crash) => {
    const known = byInstance.get(crash.instance);
    const sentAt = Math.max(crash.sentAt, known?.sentAt ?? -Infinity);
    const endedAt = Math.max(crash.endedAt, known?.endedAt ?? -Infinity);
    byInstance.set(crash.instance, { ...crash, sentAt, endedAt });
  });
  return [...byInstance.values()];
};

/** Counts the moments at which upstreams ended; several that end together count once. */
const countMoments = (crashes: readonly PartCrash[]): number => {
  let count = 0;
  let lastAt = -Infinity;
  crashes
    .map(({ endedAt }) => endedAt)
    .sort((a, b) => a - b)
    .forEach((at) => {
      if (at - lastAt > SAME_MOMENT_MS) count += 1;
      lastAt = at;
    });
  return count;
};

/** Keeps those of a suspect's crashes that are most of the crashes at their moment. */
const explainedMoments = (
  own: readonly PartCrash[],
  all: readonly PartCrash[],
): readonly PartCrash[] =>
  own.filter((crash) => {
    const isSameMoment = ({ endedAt }: PartCrash): boolean =>
      Math.abs(endedAt - crash.endedAt) <= SAME_MOMENT_MS;
    return own.filter(isSameMoment).length >= MIN_MOMENT_FRACTION * all.filter(isSameMoment).length;
  });

/** Whether a suspect's crashes, among all that nothing else explains, prove that it is a cause. */
const isProven = (suspect: Suspect, unexplained: readonly PartCrash[]): boolean => {
  const own = explainedMoments(crashesByInstance(suspect.crashes), crashesByInstance(unexplained));
  const successive = countSuccessiveCrashes(own);
  const minCrashes = suspect.hasSucceeded ? MIN_CRASHES_AFTER_SUCCESS : MIN_CRASHES;
  if (successive < minCrashes || suspect.requests.size < MIN_REQUESTS) return false;
  if (successive >= MIN_CRASHES_AMONG_OTHERS) return true;
  const firstAt = Math.min(...own.map(({ endedAt }) => endedAt));
  const since = unexplained.filter(({ endedAt }) => endedAt >= firstAt);
  return countMoments(own) >= MIN_EXPLAINED_FRACTION * countMoments(since);
};

/**
 * Orders suspects, the likeliest cause first: not known to have succeeded, in more crashes, in more different requests,
 * in fewer requests at each crash. The last criterion makes all entries choose alike.
 */
const byLikelihood = (a: Suspect, b: Suspect): number => {
  const different = ({ requests, instances }: Suspect): number =>
    Math.min(requests.size, instances.size);
  return (
    Number(a.hasSucceeded) - Number(b.hasSucceeded) ||
    b.instances.size - a.instances.size ||
    different(b) - different(a) ||
    a.crashes.length - b.crashes.length ||
    ((a.parts[0] ?? '') < (b.parts[0] ?? '') ? -1 : 1)
  );
};

/** Finds parts that were in flight in several crashes, and groups those that were in exactly the same ones. */
const findSuspects = (
  crashes: readonly PartCrash[],
  lastSuccessAt: (part: string) => number | undefined,
): Suspect[] => {
  const byPart = new Map<string, PartCrash[]>();
  crashes.forEach((crash) =>
    new Set(crash.sharedParts).forEach((part) => {
      if (crash.endedAt <= (lastSuccessAt(part) ?? -Infinity)) return;
      const known = byPart.get(part);
      if (known) known.push(crash);
      else byPart.set(part, [crash]);
    }),
  );
  const suspects = new Map<string, Suspect>();
  byPart.forEach((own, part) => {
    if (own.length < MIN_CRASHES) return;
    const hasSucceeded = lastSuccessAt(part) !== undefined;
    const names = own.map(({ instance, fingerprint }) => `${instance} ${fingerprint}`).sort();
    const key = JSON.stringify([hasSucceeded, names]);
    const known = suspects.get(key);
    if (known) known.parts.push(part);
    else {
      suspects.set(key, {
        parts: [part],
        crashes: own,
        instances: new Set(own.map(({ instance }) => instance)),
        requests: new Set(own.map(({ fingerprint }) => fingerprint)),
        hasSucceeded,
      });
    }
  });
  suspects.forEach(({ parts }) => parts.sort());
  return [...suspects.values()];
};

/** Finds the causes of crashes, the likeliest first; crashes that one cause explains don't count for the next. */
const findCauses = (
  crashes: readonly PartCrash[],
  lastSuccessAt: (part: string) => number | undefined,
): string[][] => {
  const causes: string[][] = [];
  let unexplained = crashes;
  for (;;) {
    const remaining = unexplained;
    const [cause] = findSuspects(remaining, lastSuccessAt)
      .filter((suspect) => isProven(suspect, remaining))
      .sort(byLikelihood);
    if (!cause) return causes;
    causes.push(cause.parts);
    unexplained = remaining.filter(({ instance }) => !cause.instances.has(instance));
  }
};

/** Creates an empty collection of evidence. */
export const createPartEvidence = (clock: Clock): PartEvidence => {
  let crashes: PartCrash[] = [];
  const successTimes = new Map<string, number>();
  /** The last crash in which a request with a part was in flight, to find successes that clear nothing at once. */
  let lastCrashTimes = new Map<string, number>();
  let causes: string[][] | undefined = [];
  let causesComputedAt = -Infinity;

  const setCrashes = (next: PartCrash[]): void => {
    crashes = next;
    lastCrashTimes = new Map();
    crashes.forEach(({ sharedParts, endedAt }) =>
      sharedParts.forEach((part) => {
        lastCrashTimes.set(part, Math.max(endedAt, lastCrashTimes.get(part) ?? -Infinity));
      }),
    );
    causes = undefined;
  };

  const currentCauses = (): string[][] => {
    const now = clock.monotonic();
    if (crashes.length > 0 && now - causesComputedAt > MAX_CAUSES_AGE_MS) {
      setCrashes(crashes.filter(({ endedAt }) => now - endedAt < EVIDENCE_TTL_MS));
    }
    if (causes) return causes;
    causes = findCauses(crashes, (part) => successTimes.get(part));
    causesComputedAt = now;
    return causes;
  };

  return {
    recordCrash: (crash) => {
      const isKnown = crashes.some(
        ({ instance, fingerprint }) =>
          instance === crash.instance && fingerprint === crash.fingerprint,
      );
      const isOutdated = clock.monotonic() - crash.endedAt >= EVIDENCE_TTL_MS;
      if (isKnown || isOutdated || crash.sharedParts.length === 0) return false;
      setCrashes([...crashes, crash].slice(-MAX_CRASHES));
      return true;
    },
    recordSuccess: (part, at) => {
      const before = successTimes.get(part) ?? -Infinity;
      if (at <= before) return false;
      successTimes.delete(part);
      successTimes.set(part, at);
      dropOldest(successTimes, MAX_SUCCESSES);
      const lastCrashAt = lastCrashTimes.get(part) ?? -Infinity;
      if (lastCrashAt <= before) return false;
      // A part that is no cause explains no crash, so without it the causes are the same.
      if (causes?.some((cause) => cause.includes(part))) causes = undefined;
      return true;
    },
    lastSuccessAt: (part) => successTimes.get(part),
    causeIn: (sharedParts) => {
      if (crashes.length === 0 || sharedParts.length === 0) return undefined;
      return currentCauses().find((cause) => cause.every((part) => sharedParts.includes(part)));
    },
    crashes: () => crashes,
    forgetReporter: (reporter) =>
      setCrashes(crashes.filter((crash) => crash.reporter !== reporter)),
  };
};
