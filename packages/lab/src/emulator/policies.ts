/** Admission policies that limit the streams in flight: the real one and alternatives to compare it with. */

import { silentEventLog } from '@plantaindrum/common';
import { createAdmission } from '@plantaindrum/gateway';
import type { Upstream } from '@plantaindrum/gateway';
import type { AdmissionPolicy, AdmissionTools, StreamRequest } from './day-types.js';
import { TARGET_PAUSE_MS } from './targets.js';

const SERVICE = 's';
/** A generated token counts as much as this many prompt tokens, by the users' rule of worth. */
const WRITTEN_WEIGHT = 10;
const TOKENS_PER_EVENT = 6;

const inFlight = (upstreams: readonly Upstream[]): number =>
  upstreams.reduce((total, upstream) => total + upstream.total(), 0);

const noop = (): void => {};

/** The real admission control: its limit adapts to the pauses between the events of streams. */
export const adaptiveLimit = ({ clock, passTimes }: AdmissionTools): AdmissionPolicy => {
  const admission = createAdmission(clock, silentEventLog);
  return {
    admit: ({ isReturn }, upstreams) => {
      const bounds = { targetPauseMs: TARGET_PAUSE_MS, maxConnections: Infinity };
      const options = { ...bounds, passTimes, isReturn };
      return admission.decide({ service: SERVICE, ...options }, upstreams).admitted;
    },
    recordPause: (ms) => admission.eventTimings(SERVICE).recordPause(ms),
    recordEnd: noop,
  };
};

/** Admits streams up to a fixed fraction of all slots, whatever their pauses. */
export const fixedCap =
  (share: number) =>
  ({ slots }: AdmissionTools): AdmissionPolicy => ({
    admit: (_request, upstreams) => inFlight(upstreams) < share * slots,
    recordPause: noop,
    recordEnd: noop,
  });

const tokenWeight = ({ promptTokens, events }: StreamRequest): number =>
  promptTokens + WRITTEN_WEIGHT * TOKENS_PER_EVENT * events;

/** Admits streams up to a number of weighted tokens in flight for each slot. */
export const tokenBudget =
  (tokensPerSlot: number) =>
  ({ slots }: AdmissionTools): AdmissionPolicy => {
    let tokens = 0;
    return {
      admit: (request, upstreams) => {
        const hasCapacity = tokens + tokenWeight(request) <= tokensPerSlot * slots;
        if (!hasCapacity || inFlight(upstreams) >= slots) return false;
        tokens += tokenWeight(request);
        return true;
      },
      recordPause: noop,
      recordEnd: (request) => {
        tokens -= tokenWeight(request);
      },
    };
  };
