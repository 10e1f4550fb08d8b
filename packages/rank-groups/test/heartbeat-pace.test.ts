import { expect } from 'chai';
import { HEARTBEAT_MS, heartbeatMsWith } from '../src/links/heartbeat-pace.js';
import { buildTree, relaysOf } from '../src/tree/group-tree.js';

const RANKS = 63;
const KEPT_LINKS = 3;
const MS = 1_000;
const ranks = Array.from({ length: RANKS }, (_, rank) => rank);
const tree = buildTree(ranks.map((rank) => ({ rank, dataCentre: `dc-${rank % 3}` })));
const callersOf = (rank: number): number[] => relaysOf(tree, rank, () => true);

/** Lower ranks to which the agent of a rank has links. */
const lower = (rank: number): number[] => {
  const kept = ranks.filter((other) => other < Math.min(rank, KEPT_LINKS));
  return [...new Set([...kept, ...callersOf(rank).filter((other) => other < rank)])];
};

const paceOf = (own: number, peer: number): number =>
  heartbeatMsWith({
    own,
    peer,
    lowestLinked: own === 0 ? 1 : 0,
    isWatched:
      callersOf(own).includes(peer) ||
      callersOf(peer).includes(own) ||
      (own <= KEPT_LINKS && peer < own),
    groupSize: RANKS,
  });

/** Frames a second in the whole group; a side that beats more rarely answers the other's beats. */
const framesOf = (pace: (own: number, peer: number) => number): number =>
  ranks
    .flatMap((rank) => lower(rank).map((other) => Math.min(pace(rank, other), pace(other, rank))))
    .reduce((sum, ms) => sum + (2 * MS) / ms, 0);

describe('heartbeats between the agents of a group', () => {
  // Beats on links that only matter once three agents are lost took an eighth of an agent's time.
  it('are rarer on spare links, by a fifth in a group of 63', () => {
    expect(framesOf(paceOf)).to.be.below(0.78 * framesOf(() => HEARTBEAT_MS));
  });

  // A coordinator, one that is next, or one that passes calls on is missed by those that need it.
  it('keep their pace where a loss has to be noticed soon', () => {
    expect(ranks.slice(1).every((rank) => paceOf(rank, 0) === HEARTBEAT_MS)).to.equal(true);
    expect(ranks.slice(1).every((rank) => paceOf(0, rank) === HEARTBEAT_MS)).to.equal(true);
    expect([paceOf(2, 1), paceOf(3, 1), paceOf(3, 2)]).to.deep.equal([300, 300, 300]);
    const calls = ranks.flatMap((rank) => callersOf(rank).map((caller) => [caller, rank] as const));
    expect(calls.every(([one, other]) => paceOf(one, other) === HEARTBEAT_MS)).to.equal(true);
    expect(calls.every(([one, other]) => paceOf(other, one) === HEARTBEAT_MS)).to.equal(true);
  });

  it('keep it with a peer whose rank is not known yet', () => {
    const view = { own: 9, peer: undefined, lowestLinked: 0, isWatched: false, groupSize: RANKS };
    expect(heartbeatMsWith(view)).to.equal(HEARTBEAT_MS);
  });
});
