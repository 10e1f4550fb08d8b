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
import { dropOldest } from './drop-oldest.js';

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
  /** Records crashes; returns those that were not known. */
  recordCrashes(crashes: readonly PartCrash[]): PartCrash[];
  /** Records that a request with this part succeeded; true if that clears the part of a crash. */
  recordSuccess(part: string, at: number): boolean;
  /** When a request with this part last succeeded; undefined if that isn't known. */
  lastSuccessAt(part: string): number | undefined;
  /** Causes of the crashes: for each, the parts that a request is refused for if it has all of them. */
  causes(): readonly (readonly string[])[];
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

/** A moment at which one or several upstreams ended. */
interface Moment {
  /** Position among all moments, from 0. */
  index: number;
  /** Number of upstreams that ended. */
  size: number;
}

/** Finds the moment of each upstream's end; upstreams that end together share one. */
const findMoments = (crashes: readonly PartCrash[]): Map<string, Moment> => {
  const moments = new Map<string, Moment>();
  let moment: Moment = { index: -1, size: 0 };
  let lastAt = -Infinity;
  crashesByInstance(crashes)
    .sort((a, b) => a.endedAt - b.endedAt)
    .forEach(({ instance, endedAt }) => {
      if (endedAt - lastAt > SAME_MOMENT_MS) moment = { index: moment.index + 1, size: 0 };
      lastAt = endedAt;
      moment.size += 1;
      moments.set(instance, moment);
    });
  return moments;
};

/** Keeps those of a suspect's crashes that are most of the crashes at their moment. */
const mostlyExplained = (
  own: readonly PartCrash[],
  moments: ReadonlyMap<string, Moment>,
): PartCrash[] => {
  const counts = new Map<Moment | undefined, number>();
  own.forEach(({ instance }) => {
    const moment = moments.get(instance);
    counts.set(moment, (counts.get(moment) ?? 0) + 1);
  });
  return own.filter(({ instance }) => {
    const moment = moments.get(instance);
    return (counts.get(moment) ?? 0) >= MIN_MOMENT_FRACTION * (moment?.size ?? 0);
  });
};

/** Whether a suspect's crashes, among those that nothing else explains, prove that it is a cause. */
const isProven = (suspect: Suspect, moments: ReadonlyMap<string, Moment>): boolean => {
  const minCrashes = suspect.hasSucceeded ? MIN_CRASHES_AFTER_SUCCESS : MIN_CRASHES;
  if (suspect.instances.size < minCrashes || suspect.requests.size < MIN_REQUESTS) return false;
  const own = mostlyExplained(crashesByInstance(suspect.crashes), moments);
  const successive = countSuccessiveCrashes(own);
  if (successive < minCrashes) return false;
  if (successive >= MIN_CRASHES_AMONG_OTHERS) return true;
  const explained = new Set(own.map(({ instance }) => moments.get(instance)?.index ?? 0));
  const last = Math.max(...[...moments.values()].map(({ index }) => index));
  const since = last - Math.min(...explained) + 1;
  return explained.size >= MIN_EXPLAINED_FRACTION * since;
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
  const positionsByPart = new Map<string, number[]>();
  crashes.forEach(({ sharedParts, endedAt }, position) =>
    new Set(sharedParts).forEach((part) => {
      if (endedAt <= (lastSuccessAt(part) ?? -Infinity)) return;
      const known = positionsByPart.get(part);
      if (known) known.push(position);
      else positionsByPart.set(part, [position]);
    }),
  );
  const suspects = new Map<string, Suspect>();
  positionsByPart.forEach((positions, part) => {
    if (positions.length < MIN_CRASHES) return;
    const hasSucceeded = lastSuccessAt(part) !== undefined;
    const key = `${hasSucceeded} ${positions.join()}`;
    const known = suspects.get(key);
    if (known) {
      known.parts.push(part);
      return;
    }
    const own = positions.flatMap((position) => crashes[position] ?? []);
    suspects.set(key, {
      parts: [part],
      crashes: own,
      instances: new Set(own.map(({ instance }) => instance)),
      requests: new Set(own.map(({ fingerprint }) => fingerprint)),
      hasSucceeded,
    });
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
    const moments = findMoments(remaining);
    const [cause] = findSuspects(remaining, lastSuccessAt)
      .filter((suspect) => isProven(suspect, moments))
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
    recordCrashes: (reported) => {
      const now = clock.monotonic();
      const keyOf = ({ instance, fingerprint }: PartCrash): string => `${instance} ${fingerprint}`;
      const known = new Set(crashes.map(keyOf));
      const added = reported.filter((crash) => {
        const isOutdated = now - crash.endedAt >= EVIDENCE_TTL_MS;
        if (known.has(keyOf(crash)) || isOutdated || crash.sharedParts.length === 0) return false;
        known.add(keyOf(crash));
        return true;
      });
      if (added.length > 0) setCrashes([...crashes, ...added].slice(-MAX_CRASHES));
      return added;
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
    causes: currentCauses,
    causeIn: (sharedParts) => {
      if (crashes.length === 0 || sharedParts.length === 0) return undefined;
      return currentCauses().find((cause) => cause.every((part) => sharedParts.includes(part)));
    },
    crashes: () => crashes,
    forgetReporter: (reporter) =>
      setCrashes(crashes.filter((crash) => crash.reporter !== reporter)),
  };
};
