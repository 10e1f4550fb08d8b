/** Decides which agents report the state of their group to the entries. */

import type { NodeRecord } from '@plantaindrum/mirror';

/**
 * Number of agents of a data centre that report the group's state: if one is lost, the other still
 * reports while a third notices the loss.
 */
const REPORTERS_PER_DATA_CENTRE = 2;

/**
 * Whether the registry shows two groups or more: streams may then continue on another group, so
 * that entries need the state of each.
 */
export const hasSeveralGroups = (nodes: Iterable<NodeRecord>): boolean => {
  let first: string | undefined;
  for (const { group } of nodes) {
    first ??= group?.name;
    if (group && group.name !== first) return true;
  }
  return false;
};

/**
 * Whether an agent reports for its group: it has one of the two lowest ranks in its data centre.
 * `lowerRanks` are the agents of lower ranks that are not known to be lost. The agents next in line
 * have links to the lowest ones, as these relay calls in the data centre.
 */
export const isReporter = (dataCentre: string, lowerRanks: readonly NodeRecord[]): boolean =>
  lowerRanks.filter((record) => record.dataCentre === dataCentre).length <
  REPORTERS_PER_DATA_CENTRE;
