import { expect } from 'chai';
import { createManualClock, sleep } from '@plantaindrum/common';
import { awaitShape, readShape } from '../src/links/group-shape.js';
import type { GroupShape } from '../src/types.js';

const shape: GroupShape = {
  sets: 8,
  experts: 252,
  places: 5,
  spare: 3,
  copyMs: 5,
  targetPauseMs: 120,
};

/** Starts all agents of a group; the platform knows the shape after `knownAfterMs`. */
const startAll = (ranks: number, knownAfterMs: number) => {
  const clock = createManualClock();
  const known = new Map<number, GroupShape>();
  const stopped = new Set<number>();
  let reads = 0;
  const read = async (): Promise<GroupShape | undefined> => {
    reads += 1;
    await sleep(clock, 4);
    return clock.monotonic() >= knownAfterMs ? shape : undefined;
  };
  const lowest = (): number =>
    Math.min(...Array.from({ length: ranks }, (_, n) => n).filter((n) => !stopped.has(n)));
  const start = (rank: number): void => {
    void awaitShape({
      read,
      request: async () => known.get(lowest()),
      rank,
      isLowest: () => lowest() === rank,
      isStopped: () => stopped.has(rank),
      clock,
    }).then((found) => {
      if (found) known.set(rank, found);
    });
  };
  return { clock, known, stopped, start, reads: () => reads };
};

describe("a group's shape", () => {
  // 63 agents start four seconds before the operators have written the intent. If each queried the
  // platform every 1.5 seconds, that would be about 190 billed calls.
  it('is read by a few agents, from which the others request it', async () => {
    const { clock, known, start, reads } = startAll(63, 4_000);
    for (let rank = 0; rank < 63; rank += 1) start(rank);
    await clock.advance(8_000);
    expect(known.size).to.equal(63);
    expect(reads()).to.be.at.most(20);
  });

  // The agents of the lowest ranks never start. The next one has no other to request the shape from
  // and reads it itself.
  it('is read by the lowest rank whose agent runs', async () => {
    const { clock, known, stopped, start } = startAll(12, 0);
    [0, 1, 2, 3, 4].forEach((rank) => stopped.add(rank));
    for (let rank = 5; rank < 12; rank += 1) start(rank);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await clock.advance(6_000);
    expect(known.size).to.equal(7);
  });

  it('is accepted from another agent only if complete', () => {
    expect(readShape({ ...shape })).to.deep.equal(shape);
    expect(readShape({ ...shape, targetPauseMs: undefined })?.sets).to.equal(8);
    [undefined, 'x', {}, { ...shape, sets: '8' }, { ...shape, copyMs: NaN }].forEach((value) => {
      expect(readShape(value)).to.equal(undefined);
    });
  });
});
