/** Whether each class meets its target, over the last minute. */

import type { Clock } from '@plantaindrum/common';
import type { IntentDocument } from '@plantaindrum/intent';

/** One class in `status`. */
export interface ClassStatus {
  name: string;
  latestAnswerMs: number;
  /** The share to be served within the target. */
  share: number;
  /** Requests that ended in the last minute; callers who went away are left out. */
  requests: number;
  /** The share that was served within the target; undefined without requests. */
  served: number | undefined;
  /** Whether the target is met; undefined without requests. */
  met: boolean | undefined;
}

/** Keeps count of targets. */
export interface ClassTargets {
  /** A request has ended; `withinTarget` is false for refusals and late answers. */
  note(name: string, withinTarget: boolean): void;
  status(document: IntentDocument): ClassStatus[];
}

const SLOT_MS = 5_000;
const SLOTS = 12;

interface Slot {
  index: number;
  requests: number;
  within: number;
}

/** Creates counts of nothing. */
export const createClassTargets = (clock: Clock): ClassTargets => {
  const slots = new Map<string, Slot[]>();

  const currentIndex = (): number => Math.floor(clock.monotonic() / SLOT_MS);

  const recent = (name: string): Slot[] => {
    const oldest = currentIndex() - SLOTS + 1;
    const kept = (slots.get(name) ?? []).filter(({ index }) => index >= oldest);
    slots.set(name, kept);
    return kept;
  };

  const slotOf = (name: string): Slot => {
    const kept = recent(name);
    const index = currentIndex();
    const last = kept.at(-1);
    if (last?.index === index) return last;
    const made = { index, requests: 0, within: 0 };
    kept.push(made);
    return made;
  };

  return {
    note: (name, withinTarget) => {
      const slot = slotOf(name);
      slot.requests += 1;
      if (withinTarget) slot.within += 1;
    },
    status: (document) =>
      Object.entries(document.classes).map(([name, { latestAnswerMs, share }]) => {
        const kept = recent(name);
        const requests = kept.reduce((sum, slot) => sum + slot.requests, 0);
        const within = kept.reduce((sum, slot) => sum + slot.within, 0);
        const served = requests > 0 ? within / requests : undefined;
        const met = served === undefined ? undefined : served >= share;
        return { name, latestAnswerMs, share, requests, served, met };
      }),
  };
};
