/** What the stop and the return of a data centre mean for one node. */

import type { Clock, Random } from '@plantaindrum/common';
import type { IntentDocument } from '../../types.js';

/** Whether operators have stopped a data centre; one that they never named serves. */
export const isStopped = (document: IntentDocument, dataCentre: string): boolean =>
  document.dataCentres[dataCentre]?.state === 'stopped';

/**
 * What a node does now: `serve`; `finish` takes nothing new and ends what it holds; `serve-last` is
 * an agent that still takes the last work of its own data centre's entries; `idle` holds nothing.
 */
export type NodeDuty = 'serve' | 'finish' | 'serve-last' | 'idle';

/** What a node's duty depends on. */
export interface DutyOptions {
  role: 'entry' | 'agent';
  dataCentre: string;
  document: IntentDocument;
  /** Requests that this node holds. */
  inFlight: number;
  /** This VM alone is leaving. */
  leaving?: boolean;
  /** For agents: links of entries of the same data centre that have not drained yet. */
  busyEntries?: number;
}

/**
 * The duty of a node. Entries go first: callers' requests pass through them, and until the last has
 * ended the agents beside the upstreams are still needed. So agents stop last.
 */
export const nodeDuty = (options: DutyOptions): NodeDuty => {
  const { role, dataCentre, document, inFlight, leaving = false, busyEntries = 0 } = options;
  if (!leaving && !isStopped(document, dataCentre)) return 'serve';
  if (!leaving && role === 'agent' && busyEntries > 0) return 'serve-last';
  return inFlight > 0 ? 'finish' : 'idle';
};

/**
 * Whether an entry may send new work to an upstream. Upstreams of a stopping data centre take work
 * only from its own entries, which serve on until the balancer in front has noticed the stop.
 */
export const mayDispatch = (
  document: IntentDocument,
  entryDataCentre: string,
  upstreamDataCentre: string,
): boolean => !isStopped(document, upstreamDataCentre) || entryDataCentre === upstreamDataCentre;

/** Lets a data centre that was stopped have its share back little by little. */
export interface ReturnRamp {
  /** Takes the document after each change. */
  follow(document: IntentDocument): void;
  /** Share of its work that a data centre gets now, 0 to 1. */
  share(dataCentre: string): number;
  /** Whether this request may go there, drawn by the share. */
  admits(dataCentre: string): boolean;
}

/** Times of a return. */
export interface ReturnRampOptions {
  clock: Clock;
  random: Random;
  /** Time until a returning data centre has its whole share, in milliseconds. */
  rampMs?: number;
}

const RAMP_MS = 30_000;
const FIRST_SHARE = 0.1;

/**
 * Creates the ramp of one entry. Caches of a data centre that comes back are cold and its upstreams
 * slow at first; its whole share at once would miss targets that the others can still meet.
 */
export const createReturnRamp = (options: ReturnRampOptions): ReturnRamp => {
  const { clock, random, rampMs = RAMP_MS } = options;
  const stopped = new Set<string>();
  const returnedAt = new Map<string, number>();

  const follow = (document: IntentDocument): void => {
    Object.keys(document.dataCentres).forEach((name) => {
      if (isStopped(document, name)) {
        stopped.add(name);
        returnedAt.delete(name);
      } else if (stopped.delete(name)) returnedAt.set(name, clock.monotonic());
    });
  };

  const share = (dataCentre: string): number => {
    if (stopped.has(dataCentre)) return 0;
    const since = returnedAt.get(dataCentre);
    if (since === undefined) return 1;
    const passed = (clock.monotonic() - since) / rampMs;
    if (passed >= 1) returnedAt.delete(dataCentre);
    return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * passed);
  };

  return { follow, share, admits: (dataCentre) => random() < share(dataCentre) };
};
