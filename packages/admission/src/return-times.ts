/**
 * When refused callers are told to return, and whether a caller returned when it was told to.
 * Load pattern: a crowd of refused callers that returns at once.
 */

import type { Clock, Random } from '@plantaindrum/common';

/** A request that is refused. */
export interface RefusedRequest {
  id: string;
  organisation: string;
  priority: number;
  /** Time until the caller gives up, in ms. */
  remainingMs: number;
  /** Requests of at least its urgency that wait at all entries. */
  ahead: number;
  /** Rate at which room becomes free for its priority at all entries, per ms. */
  drainPerMs: number;
  /** Entries that refuse at the same time, including this one. */
  entries: number;
}

/** A request that arrives. */
export interface ArrivingRequest {
  id: string;
  organisation: string;
  /** Time since the caller's first attempt, by its shorter deadline, in ms; 0 for a first attempt. */
  elapsedMs: number;
}

/** Times to return, with a ledger of those that were told. */
export interface ReturnTimes {
  /** Returns the delay after which the caller may return, in ms. */
  assign(request: RefusedRequest): number;
  /** Whether a request is a return at the time that its caller was told. */
  isDue(request: ArrivingRequest): boolean;
  /** Number of callers that were told a time and have not returned. */
  size(): number;
}

/** Shortest delay, in ms: some streams of each engine have ended by then. */
const MIN_DELAY_MS = 250;
/** Largest fraction of the caller's remaining time: the rest must be enough to wait again and to be served. */
const MAX_REMAINING_FRACTION = 1 / 3;
/** A return that is this much early counts as on time, in ms: clocks and links differ by some milliseconds. */
const TOLERANCE_MS = 30;
/** Time after which a caller that has not returned is forgotten, in ms. */
const FORGET_AFTER_MS = 2_000;
/** Max callers in the ledger: bounds the memory in a flood; some 40 s of refusals at 100 per second. */
const MAX_ENTRIES = 4_096;
/** An organisation may hold this multiple of the mean number of entries, so that a flood earns no precedence. */
const MAX_MEAN_MULTIPLE = 2;
/** Entries that each organisation may hold in any case. */
const MIN_ORGANISATION_ENTRIES = 8;

interface Told {
  organisation: string;
  dueAt: number;
}

/** Creates an empty ledger. */
export const createReturnTimes = (clock: Clock, random: Random): ReturnTimes => {
  const told = new Map<string, Told>();
  const countByOrganisation = new Map<string, number>();
  const lastDueAt = new Map<number, number>();

  const remove = (id: string): void => {
    const entry = told.get(id);
    if (!entry) return;
    told.delete(id);
    const count = (countByOrganisation.get(entry.organisation) ?? 0) - 1;
    if (count > 0) countByOrganisation.set(entry.organisation, count);
    else countByOrganisation.delete(entry.organisation);
  };

  /** Removes expired entries at the front, which were told first, and the oldest one of a full ledger. */
  const prune = (now: number): void => {
    for (const [id, { dueAt }] of told) {
      if (told.size < MAX_ENTRIES && dueAt + FORGET_AFTER_MS > now) return;
      remove(id);
    }
  };

  const mayAdd = (organisation: string): boolean => {
    const held = countByOrganisation.get(organisation) ?? 0;
    const mean = told.size / Math.max(1, countByOrganisation.size);
    return held < Math.max(MIN_ORGANISATION_ENTRIES, MAX_MEAN_MULTIPLE * mean);
  };

  /** Time of the next free place of a priority, spread so that returns arrive at the rate of the drain. */
  const nextDueAt = (request: RefusedRequest, now: number): number => {
    const { priority, ahead, entries } = request;
    const drainPerMs = Math.max(request.drainPerMs, 1e-6);
    const earliest = now + Math.max(MIN_DELAY_MS, ahead / drainPerMs);
    const spacingMs = entries / drainPerMs;
    return Math.max(earliest, lastDueAt.get(priority) ?? 0) + spacingMs * random();
  };

  return {
    assign: (request) => {
      const now = clock.monotonic();
      prune(now);
      const known = told.get(request.id);
      const latest = now + request.remainingMs * MAX_REMAINING_FRACTION;
      if (known && known.dueAt > now) return known.dueAt - now;
      const next = nextDueAt(request, now);
      const isWithin = next <= latest;
      const from = Math.min(now + MIN_DELAY_MS, latest);
      const dueAt = isWithin ? next : from + (latest - from) * random();
      if (isWithin) lastDueAt.set(request.priority, dueAt);
      remove(request.id);
      if (mayAdd(request.organisation)) {
        const { organisation } = request;
        told.set(request.id, { organisation, dueAt });
        countByOrganisation.set(organisation, (countByOrganisation.get(organisation) ?? 0) + 1);
      }
      return Math.max(0, dueAt - now);
    },
    isDue: ({ id, elapsedMs }) => {
      const entry = told.get(id);
      // Without an entry another entry refused it; nobody is told to return sooner than after the shortest delay.
      if (!entry) return elapsedMs >= MIN_DELAY_MS - TOLERANCE_MS;
      if (clock.monotonic() < entry.dueAt - TOLERANCE_MS) return false;
      remove(id);
      return true;
    },
    size: () => told.size,
  };
};
