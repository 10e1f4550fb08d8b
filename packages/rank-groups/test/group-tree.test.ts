import { expect } from 'chai';
import fc from 'fast-check';
import { buildTree, ranksOf, relaysOf, RELAYS, routesTo } from '../src/tree/group-tree.js';
import type { GroupTree, Route } from '../src/tree/group-tree.js';

const group = (ranks: number, dataCentres: number): GroupTree =>
  buildTree(
    Array.from({ length: ranks }, (_, rank) => ({ rank, dataCentre: `dc-${rank % dataCentres}` })),
  );

const fanOut = (routes: readonly Route[]): number =>
  Math.max(routes.length, ...routes.map(({ below }) => (below.length > 0 ? fanOut(below) : 0)));

const depth = (routes: readonly Route[]): number =>
  routes.length === 0 ? 0 : 1 + Math.max(...routes.map(({ below }) => depth(below)));

const others = (ranks: number, own: number): Set<number> =>
  new Set(Array.from({ length: ranks }, (_, rank) => rank).filter((rank) => rank !== own));

/** Each agent that passes a call on, with those that it passes it on to. */
const hops = (own: number, routes: readonly Route[]): [number, number][] =>
  routes.flatMap(({ rank, below }) => [[own, rank] as [number, number], ...hops(rank, below)]);

describe('the tree of a group', () => {
  it('reaches every rank once, whichever agent calls and whichever are silent', () => {
    const silent = fc.uniqueArray(fc.nat(199), { maxLength: 40 });
    fc.assert(
      fc.property(fc.nat(199), fc.integer({ min: 1, max: 6 }), silent, (own, halls, unsound) => {
        const wanted = others(200, own);
        const isSound = (rank: number): boolean => !unsound.includes(rank);
        const routes = routesTo(group(200, halls), { own, wanted, isLinked: () => true, isSound });
        const reached = routes.flatMap(ranksOf).sort((a, b) => a - b);
        expect(reached).to.deep.equal([...wanted].sort((a, b) => a - b));
        const relays = hops(own, routes).flatMap(([from]) => (from === own ? [] : [from]));
        expect(relays.filter((rank) => !isSound(rank))).to.deep.equal([]);
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  // A relay that has no link to a rank could only say that it is missing. Machines that were removed stay in the
  // list of nodes, and the lowest ranks of a cluster may be among them.
  it('goes only where agents keep links, whichever machines are gone', () => {
    const tree = group(192, 5);
    const gone = fc.uniqueArray(fc.integer({ min: 1, max: 191 }), { maxLength: 120 });
    fc.assert(
      fc.property(gone, (removed) => {
        const isUp = (rank: number): boolean => !removed.includes(rank);
        const up = [...others(192, 0)].filter(isUp);
        const links = new Set(
          up.flatMap((rank) => relaysOf(tree, rank, isUp).map((relay) => `${relay}-${rank}`)),
        );
        const wanted = new Set(up);
        const routes = routesTo(tree, { own: 0, wanted, isLinked: isUp, isSound: isUp });
        const relayed = hops(0, routes).filter(([from]) => from !== 0);
        expect(relayed.filter(([from, to]) => !links.has(`${from}-${to}`))).to.deep.equal([]);
        expect(routes.length).to.be.at.most(20);
      }),
      { seed: 12, numRuns: 200 },
    );
  });

  // A machine is removed for good, and a new one takes its rank at another address. Both are listed.
  it('has a rank once that two machines are listed for', () => {
    const members = [0, 1, 1, 2].map((rank, at) => ({ rank, dataCentre: at === 2 ? 'b' : 'a' }));
    expect(buildTree(members)).to.deep.equal([[[0], [2]], [[1]]]);
  });

  it('keeps few links and calls few ranks at any size', () => {
    const shape = [12, 63, 192, 256, 430].map((ranks) => {
      const tree = group(ranks, 5);
      const routes = routesTo(tree, {
        own: 0,
        wanted: others(ranks, 0),
        isLinked: () => true,
        isSound: () => true,
      });
      const links = Array.from({ length: ranks }, (_, rank) => relaysOf(tree, rank, () => true));
      const dialled = Math.max(...links.map(({ length }) => length));
      return { ranks, fanOut: fanOut(routes), depth: depth(routes), dialled };
    });
    expect(shape).toMatchSnapshot();
    expect(Math.max(...shape.map(({ dialled }) => dialled))).to.be.at.most(2 * RELAYS);
  });
});
