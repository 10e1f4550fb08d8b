/**
 * Divides the free room of a service between priorities, and between this entry and the others.
 * Load pattern: a burst of urgent requests while less urgent ones wait, at several entries.
 *
 * All entries compute the same division from the same counts, so that together they send as many requests as there is
 * room, and less urgent ones only into room that more urgent ones, here or elsewhere, leave.
 */

/** Waiting requests of one priority. */
export interface PriorityDemand {
  /** Waiting at this entry. */
  own: number;
  /** Waiting at the other entries, by their last reports. */
  elsewhere: number;
  /** Requests that the other entries are expected to have received since. */
  unreported: number;
  /** Room kept for more urgent requests that are expected but not waiting yet. */
  reserved: number;
  /** Fraction of the free room that this priority keeps. */
  minShare: number;
}

/** Room that a division gives to this entry and to the others. */
export interface Allocation {
  /** Requests that this entry may send, by the priorities in the given order; not whole numbers. */
  own: number[];
  /** Requests that the other entries are expected to send and haven't reported. */
  elsewhere: number;
}

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

const totalOf = ({ own, elsewhere, unreported }: PriorityDemand): number =>
  own + elsewhere + unreported;

/** Divides the room among priorities; the minimum shares come from room that is in use, not from reserved room. */
const divideByPriority = (room: number, demands: readonly PriorityDemand[]): number[] => {
  const minShares = demands.map((demand) => Math.min(totalOf(demand), demand.minShare * room));
  let left = room - sum(minShares);
  const fills = demands.map((demand, at) => {
    const fill = Math.min(
      totalOf(demand) - (minShares[at] ?? 0),
      Math.max(0, left - demand.reserved),
    );
    left -= fill;
    return fill;
  });
  // Reserved room stays free and is divided again the next time; minimum shares of it would add up to all of it.
  const usable = Math.max(Number.EPSILON, room - sum(minShares));
  const scale = Math.min(1, sum(fills) / usable);
  return demands.map((demand, at) => {
    const fill = fills[at] ?? 0;
    const minShare = minShares[at] ?? 0;
    const isSatisfied = fill + minShare >= totalOf(demand);
    return fill + (isSatisfied ? minShare : minShare * scale);
  });
};

/** Divides `free` streams among the demands, which are ordered by priority. */
export const allocateRoom = (free: number, demands: readonly PriorityDemand[]): Allocation => {
  const shares = divideByPriority(Math.max(0, free), demands);
  const fraction = (at: number, part: (demand: PriorityDemand) => number): number => {
    const demand = demands[at];
    const total = demand ? totalOf(demand) : 0;
    return demand && total > 0 ? ((shares[at] ?? 0) * part(demand)) / total : 0;
  };
  return {
    own: demands.map((_, at) => fraction(at, ({ own }) => own)),
    elsewhere: sum(demands.map((_, at) => fraction(at, ({ elsewhere }) => elsewhere))),
  };
};
