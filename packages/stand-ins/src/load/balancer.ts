/** Simulates the platform's load balancer in front of the entries: it selects only ready ones. */
import type { Clock } from '@plantaindrum/common';
import { sleep, systemClock } from '@plantaindrum/common';
import { request } from 'undici';

/** Addresses of one entry. */
export interface BalancedEntry {
  /** Base URL of the caller server. */
  callers: string;
  /** URL of the readiness probe. */
  ready: string;
}

/** Options of `createBalancer`. */
export interface BalancerOptions {
  entries: BalancedEntry[];
  /** Interval between probes of an entry, and timeout of a probe. */
  intervalMs?: number;
  clock?: Clock;
}

/** A running balancer. */
export interface Balancer {
  /** Returns the next ready entry, round-robin; falls back to all entries when none is ready. */
  pick(): string;
  /** Returns the caller server URLs of the entries whose last probe succeeded. */
  ready(): string[];
  close(): void;
}

const DEFAULT_INTERVAL_MS = 500;

/** Starts a balancer; resolves after each entry has been probed once. */
export const createBalancer = async (options: BalancerOptions): Promise<Balancer> => {
  const { entries, clock = systemClock, intervalMs = DEFAULT_INTERVAL_MS } = options;
  const readyEntries = new Set<BalancedEntry>();
  let position = 0;
  let closed = false;

  const probe = async (entry: BalancedEntry): Promise<void> => {
    try {
      const res = await request(entry.ready, {
        headersTimeout: intervalMs,
        bodyTimeout: intervalMs,
      });
      await res.body.dump();
      if (res.statusCode === 200) readyEntries.add(entry);
      else readyEntries.delete(entry);
    } catch {
      readyEntries.delete(entry);
    }
  };

  const probePeriodically = async (entry: BalancedEntry): Promise<void> => {
    while (!closed) {
      await sleep(clock, intervalMs);
      if (!closed) await probe(entry);
    }
  };

  const ready = (): string[] =>
    entries.filter((entry) => readyEntries.has(entry)).map((entry) => entry.callers);

  await Promise.all(entries.map(probe));
  entries.forEach((entry) => {
    void probePeriodically(entry);
  });
  return {
    pick: () => {
      const readyUrls = ready();
      const candidates = readyUrls.length > 0 ? readyUrls : entries.map((entry) => entry.callers);
      position += 1;
      return candidates[position % candidates.length] ?? '';
    },
    ready,
    close: () => {
      closed = true;
    },
  };
};
