import type { GroupLayout } from '../types.js';
import type { PlacementState } from './placement-state.js';

/** An edit of one layer of a map: replicas to drop and replicas to load. */
export interface Edit {
  layer: number;
  drop: readonly { expert: number; rank: number }[];
  load: readonly { expert: number; rank: number }[];
}

interface Candidate {
  edit: Edit;
  score: number;
}

/** Added to the number of loads, so that the score of an edit without loads is finite. */
const FREE_EDIT_COST = 0.25;

// The fourth power is dominated by the slowest ranks. Unlike their maximum, it also rewards an edit
// when several ranks are equally slow.
const weight = (time: number): number => time * time * time * time;

/** Computes how an edit changes the weighted times of the ranks, without applying it. */
const createDelta = (state: PlacementState) => {
  const changes = new Map<number, number>();
  const addTime = (rank: number, by: number): void => {
    changes.set(rank, (changes.get(rank) ?? 0) + by);
  };
  return {
    /** Replaces the hosts of an expert. */
    rehost: (layer: number, expert: number, hosts: readonly number[]): void => {
      const before = state.hosts(layer, expert);
      before.forEach((rank) => addTime(rank, -state.cost(layer, expert, rank, before.length)));
      hosts.forEach((rank) => addTime(rank, state.cost(layer, expert, rank, hosts.length)));
    },
    gain: (): number => {
      let gain = 0;
      for (const [rank, by] of changes) {
        const time = state.times[rank] ?? 0;
        gain += weight(time) - weight(time + by);
      }
      return gain;
    },
  };
};

const hostsAfter = (state: PlacementState, edit: Edit, expert: number): number[] => {
  const dropped = edit.drop.filter((replica) => replica.expert === expert);
  const loaded = edit.load.filter((replica) => replica.expert === expert);
  const kept = state
    .hosts(edit.layer, expert)
    .filter((rank) => !dropped.some((replica) => replica.rank === rank));
  return [...kept, ...loaded.map(({ rank }) => rank)];
};

const score = (state: PlacementState, edit: Edit): number => {
  const delta = createDelta(state);
  const experts = new Set([...edit.drop, ...edit.load].map(({ expert }) => expert));
  for (const expert of experts) {
    const hosts = hostsAfter(state, edit, expert);
    if (hosts.length === 0) return 0;
    delta.rehost(edit.layer, expert, hosts);
  }
  return delta.gain() / (edit.load.length + FREE_EDIT_COST);
};

/** Edits that move an expert from `slowRank` to `receiver`, or add a replica there. */
const editsBetween = (
  state: PlacementState,
  layout: GroupLayout,
  layer: number,
  expert: number,
  slowRank: number,
  receiver: number,
): Edit[] => {
  const receiverExperts = state.held(receiver, layer);
  if (receiverExperts.includes(expert)) return [];
  const added = { expert, rank: receiver };
  const removed = { expert, rank: slowRank };
  if (receiverExperts.length < layout.slots) {
    return [
      { layer, drop: [removed], load: [added] },
      { layer, drop: [], load: [added] },
    ];
  }
  const slowRankExperts = state.held(slowRank, layer);
  return receiverExperts.flatMap((other) => {
    const displaced = { expert: other, rank: receiver };
    const share = { layer, drop: [displaced], load: [added] };
    if (slowRankExperts.includes(other)) return [share];
    const swap = {
      layer,
      drop: [removed, displaced],
      load: [added, { expert: other, rank: slowRank }],
    };
    return [share, swap];
  });
};

/**
 * Returns the edit with the largest gain per loaded expert for a rank; undefined when none helps.
 */
export const bestEdit = (
  state: PlacementState,
  layout: GroupLayout,
  slowRank: number,
  receivers: readonly number[],
): Edit | undefined => {
  let best: Candidate | undefined;
  const consider = (edit: Edit): void => {
    const value = score(state, edit);
    if (value > (best?.score ?? 1e-9)) best = { edit, score: value };
  };
  for (let layer = 0; layer < layout.layers; layer += 1) {
    for (const expert of state.held(slowRank, layer)) {
      consider({ layer, drop: [{ expert, rank: slowRank }], load: [] });
      for (const receiver of receivers) {
        editsBetween(state, layout, layer, expert, slowRank, receiver).forEach(consider);
      }
    }
  }
  return best?.edit;
};

/** Applies an edit to the placement state. */
export const applyEdit = (state: PlacementState, { layer, drop, load }: Edit): void => {
  // Replicas are added first, so that no expert is ever without a host.
  load.forEach(({ expert, rank }) => state.add(layer, expert, rank));
  drop.forEach(({ expert, rank }) => state.remove(layer, expert, rank));
};
