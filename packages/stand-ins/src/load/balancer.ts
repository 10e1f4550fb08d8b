/** Stands for the platform's balancer before the entries: it sends to those that are ready. */
import type { Clock } from '@plantaindrum/common';
import { sleep, systemClock } from '@plantaindrum/common';
import { request } from 'undici';

/** One entry as the balancer knows it. */
export interface BalancedEntry {
  /** Base address of the callers' door. */
  callers: string;
  /** Full address of the readiness probe. */
  ready: string;
}

/** Options of a balancer. */
export interface BalancerOptions {
  entries: BalancedEntry[];
  /** Time between two probes of an entry, and the longest that one may take. */
  intervalMs?: number;
  clock?: Clock;
}

/** A running balancer. */
export interface Balancer {
  /** The next ready entry in turn; any entry when none is ready. */
  pick(): string;
  /** Callers' doors of the entries that passed their last probe. */
  ready(): string[];
  close(): void;
}

const DEFAULT_INTERVAL_MS = 500;

/** Starts a balancer; it resolves after the first probes. */
export const createBalancer = async (options: BalancerOptions): Promise<Balancer> => {
  const { entries, clock = systemClock, intervalMs = DEFAULT_INTERVAL_MS } = options;
  const passed = new Set<BalancedEntry>();
  let turn = 0;
  let closed = false;

  const probe = async (entry: BalancedEntry): Promise<void> => {
    try {
      const res = await request(entry.ready, {
        headersTimeout: intervalMs,
        bodyTimeout: intervalMs,
      });
      await res.body.dump();
      if (res.statusCode === 200) passed.add(entry);
      else passed.delete(entry);
    } catch {
      passed.delete(entry);
    }
  };

  const watch = async (entry: BalancedEntry): Promise<void> => {
    while (!closed) {
      await sleep(clock, intervalMs);
      if (!closed) await probe(entry);
    }
  };

  const ready = (): string[] =>
    entries.filter((entry) => passed.has(entry)).map((entry) => entry.callers);

  await Promise.all(entries.map(probe));
  entries.forEach((entry) => {
    void watch(entry);
  });
  return {
    pick: () => {
      const open = ready();
      const choice = open.length > 0 ? open : entries.map((entry) => entry.callers);
      turn += 1;
      return choice[turn % choice.length] ?? '';
    },
    ready,
    close: () => {
      closed = true;
    },
  };
};
