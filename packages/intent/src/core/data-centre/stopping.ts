/** How a node behaves while a data centre is stopped and when it returns. */

import type { Clock, Random } from '@plantaindrum/common';
import type { IntentDocument } from '../../types.js';

/** Whether operators have stopped a data centre; one missing from the document serves. */
export const isStopped = (document: IntentDocument, dataCentre: string): boolean =>
  document.dataCentres[dataCentre]?.state === 'stopped';

/**
 * What a node does: `serve` takes all work; `finish` takes no new work and completes its requests in
 * flight; `serve-last`, of agents, takes work only from the entries of its own data centre, which
 * are still draining; `idle` has no work.
 */
export type NodeDuty = 'serve' | 'finish' | 'serve-last' | 'idle';

/** Inputs of `nodeDuty`. */
export interface DutyOptions {
  role: 'entry' | 'agent';
  dataCentre: string;
  document: IntentDocument;
  /** Requests in flight at this node. */
  inFlight: number;
  /** Whether this VM alone is leaving. */
  leaving?: boolean;
  /** For agents: number of linked entries of the same data centre that haven't drained yet. */
  busyEntries?: number;
}

/**
 * The duty of a node. Entries drain first and agents stop last: callers' requests pass through an
 * entry, and need the agent beside their upstream until they have ended.
 */
export const nodeDuty = (options: DutyOptions): NodeDuty => {
  const { role, dataCentre, document, inFlight, leaving = false, busyEntries = 0 } = options;
  if (!leaving && !isStopped(document, dataCentre)) return 'serve';
  if (!leaving && role === 'agent' && busyEntries > 0) return 'serve-last';
  return inFlight > 0 ? 'finish' : 'idle';
};

/**
 * Whether an entry may send new work to an upstream. Upstreams of a stopping data centre take work
 * only from its own entries, which keep serving until the balancer in front has noticed the stop.
 */
export const mayDispatch = (
  document: IntentDocument,
  entryDataCentre: string,
  upstreamDataCentre: string,
): boolean => !isStopped(document, upstreamDataCentre) || entryDataCentre === upstreamDataCentre;

/** Ramps up the share of work of a data centre that returns after a stop. */
export interface ReturnRamp {
  /** Applies the intent document; to be called after each change. */
  update(document: IntentDocument): void;
  /** Share of its usual work that a data centre gets at present, 0 to 1. */
  share(dataCentre: string): number;
  /** Whether a request may go there, decided at random with the share as probability. */
  admits(dataCentre: string): boolean;
}

/** Options of `createReturnRamp`. */
export interface ReturnRampOptions {
  clock: Clock;
  random: Random;
  /** Time until a returning data centre has its full share, in milliseconds. */
  rampMs?: number;
}

const RAMP_MS = 30_000;
const INITIAL_SHARE = 0.1;

/**
 * Creates the ramp of one entry. The caches of a returning data centre are cold and its upstreams
 * slow at first. With its full share at once, requests would miss targets that others can still meet.
 */
export const createReturnRamp = (options: ReturnRampOptions): ReturnRamp => {
  const { clock, random, rampMs = RAMP_MS } = options;
  const stopped = new Set<string>();
  const returnedAt = new Map<string, number>();

  const update = (document: IntentDocument): void => {
    Object.keys(document.dataCentres).forEach((name) => {
      if (isStopped(document, name)) {
        stopped.add(name);
        returnedAt.delete(name);
      } else if (stopped.delete(name)) returnedAt.set(name, clock.monotonic());
    });
  };

  const share = (dataCentre: string): number => {
    if (stopped.has(dataCentre)) return 0;
    const rampStartedAt = returnedAt.get(dataCentre);
    if (rampStartedAt === undefined) return 1;
    const progress = (clock.monotonic() - rampStartedAt) / rampMs;
    if (progress >= 1) returnedAt.delete(dataCentre);
    return Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * progress);
  };

  return { update, share, admits: (dataCentre) => random() < share(dataCentre) };
};
