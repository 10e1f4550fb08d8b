/** Decides when an agent mirrors the operators' intent: once it has been among the selected agents for a while. */

import type { Clock } from '@plantaindrum/common';
import { selectMirrorAgents } from '@plantaindrum/mirror';
import type { NodeRecord } from '@plantaindrum/mirror';

/**
 * Time for which an agent has to be selected before it mirrors, in ms. When a group starts, each agent knows few others
 * at first and would select itself; two thirds of the agents read the intent twice for that, and calls are billed.
 */
const SETTLE_MS = 2_000;

/** Options of `createMirrorDuty`. */
export interface MirrorDutyOptions {
  node: string;
  setActive: (isActive: boolean) => void;
  clock: Clock;
}

/** Returns the function that updates the decision; called regularly, with the nodes if they have changed. */
export const createMirrorDuty = ({ node, setActive, clock }: MirrorDutyOptions) => {
  let selectedSince: number | undefined;

  return (changed: Iterable<NodeRecord> | undefined): void => {
    if (changed) {
      const isSelected = selectMirrorAgents(changed).some((agent) => agent.node === node);
      selectedSince = isSelected ? (selectedSince ?? clock.monotonic()) : undefined;
      if (!isSelected) setActive(false);
    }
    const isSettled = selectedSince !== undefined && clock.monotonic() - selectedSince >= SETTLE_MS;
    if (isSettled) setActive(true);
  };
};
