import type { GroupLayout } from '../types.js';
import type { PlacementState } from './placement-state.js';

/** One edit of a map: replicas to drop and replicas to load. */
export interface Edit {
  layer: number;
  drop: readonly { expert: number; rank: number }[];
  load: readonly { expert: number; rank: number }[];
}

interface Candidate {
  edit: Edit;
  score: number;
}

/** Cost of an edit that loads nothing, in loads; keeps the score finite. */
const FREE_EDIT_COST = 0.25;

// The fourth power follows the slowest ranks and, unlike their maximum, also rewards an edit when
// several ranks are equally slow.
const weight = (time: number): number => time * time * time * time;

/** Sums how an edit changes the weighted times, rank by rank, without carrying it out. */
const createDelta = (state: PlacementState) => {
  const changes = new Map<number, number>();
  const shift = (rank: number, by: number): void => {
    changes.set(rank, (changes.get(rank) ?? 0) + by);
  };
  return {
    /** The expert goes from its hosts to other ones. */
    rehost: (layer: number, expert: number, hosts: readonly number[]): void => {
      const before = state.hosts(layer, expert);
      before.forEach((rank) => shift(rank, -state.cost(layer, expert, rank, before.length)));
      hosts.forEach((rank) => shift(rank, state.cost(layer, expert, rank, hosts.length)));
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

/** Edits that take expert `x` off rank `hot`, or share it, with rank `cool`. */
const editsBetween = (
  state: PlacementState,
  layout: GroupLayout,
  layer: number,
  x: number,
  hot: number,
  cool: number,
): Edit[] => {
  const there = state.held(cool, layer);
  if (there.includes(x)) return [];
  const take = { expert: x, rank: cool };
  const give = { expert: x, rank: hot };
  if (there.length < layout.slots) {
    return [
      { layer, drop: [give], load: [take] },
      { layer, drop: [], load: [take] },
    ];
  }
  const here = state.held(hot, layer);
  return there.flatMap((y) => {
    const freed = { expert: y, rank: cool };
    const share = { layer, drop: [freed], load: [take] };
    if (here.includes(y)) return [share];
    const swap = { layer, drop: [give, freed], load: [take, { expert: y, rank: hot }] };
    return [share, swap];
  });
};

/** The edit that relieves a rank most for each expert loaded; undefined when none helps. */
export const bestRelief = (
  state: PlacementState,
  layout: GroupLayout,
  hot: number,
  coolest: readonly number[],
): Edit | undefined => {
  let best: Candidate | undefined;
  const consider = (edit: Edit): void => {
    const value = score(state, edit);
    if (value > (best?.score ?? 1e-9)) best = { edit, score: value };
  };
  for (let layer = 0; layer < layout.layers; layer += 1) {
    for (const x of state.held(hot, layer)) {
      consider({ layer, drop: [{ expert: x, rank: hot }], load: [] });
      for (const cool of coolest) {
        editsBetween(state, layout, layer, x, hot, cool).forEach(consider);
      }
    }
  }
  return best?.edit;
};

/** Carries an edit out. */
export const applyEdit = (state: PlacementState, { layer, drop, load }: Edit): void => {
  // Loads first: an expert is never without a host, not even between two lines.
  load.forEach(({ expert, rank }) => state.add(layer, expert, rank));
  drop.forEach(({ expert, rank }) => state.remove(layer, expert, rank));
};
