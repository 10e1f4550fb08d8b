/** Ways to decide how many streams are in flight: the product's, and those that it is weighed against. */

import { silentEventLog } from '@plantaindrum/common';
import { createAdmission } from '@plantaindrum/gateway';
import type { Upstream } from '@plantaindrum/gateway';
import type { AdmissionPolicy, AdmissionTools, StreamRequest } from './day-types.js';
import { TARGET_PAUSE_MS } from './targets.js';

const SERVICE = 's';
/** A token that is written weighs as much as this many that are read (the users' rule of worth). */
const WRITTEN_WEIGHT = 10;
const TOKENS_PER_EVENT = 6;

const inFlight = (upstreams: readonly Upstream[]): number =>
  upstreams.reduce((total, upstream) => total + upstream.total(), 0);

const nothing = (): void => {};

/** The product's: the limit follows the pauses that streams show. */
export const followPace = ({ clock, passTimes }: AdmissionTools): AdmissionPolicy => {
  const admission = createAdmission(clock, silentEventLog);
  return {
    admit: ({ isReturn }, upstreams) => {
      const bounds = { targetPauseMs: TARGET_PAUSE_MS, maxConnections: Infinity };
      const asked = { ...bounds, passTimes, isReturn };
      return admission.decide({ service: SERVICE, ...asked }, upstreams).admitted;
    },
    notePause: (ms) => admission.pace(SERVICE).notePause(ms),
    noteEnd: nothing,
  };
};

/** At most this share of all slots, whatever the pace. */
export const fixedCap =
  (share: number) =>
  ({ slots }: AdmissionTools): AdmissionPolicy => ({
    admit: (_request, upstreams) => inFlight(upstreams) < share * slots,
    notePause: nothing,
    noteEnd: nothing,
  });

const weightOf = ({ promptTokens, events }: StreamRequest): number =>
  promptTokens + WRITTEN_WEIGHT * TOKENS_PER_EVENT * events;

/** At most this many tokens in flight, for each slot. */
export const tokenBudget =
  (tokensPerSlot: number) =>
  ({ slots }: AdmissionTools): AdmissionPolicy => {
    let tokens = 0;
    return {
      admit: (request, upstreams) => {
        const isRoom = tokens + weightOf(request) <= tokensPerSlot * slots;
        if (!isRoom || inFlight(upstreams) >= slots) return false;
        tokens += weightOf(request);
        return true;
      },
      notePause: nothing,
      noteEnd: (request) => {
        tokens -= weightOf(request);
      },
    };
  };
