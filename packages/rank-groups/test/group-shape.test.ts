import { expect } from 'chai';
import { createManualClock, sleep } from '@plantaindrum/common';
import { awaitShape, readToldShape } from '../src/links/group-shape.js';
import type { GroupShape } from '../src/types.js';

const shape: GroupShape = {
  sets: 8,
  experts: 252,
  places: 5,
  spare: 3,
  copyMs: 5,
  targetPauseMs: 120,
};

/** All agents of a group start; the platform knows the shape after a while. */
const startAll = (ranks: number, knownAfterMs: number) => {
  const clock = createManualClock();
  const known = new Map<number, GroupShape>();
  const gone = new Set<number>();
  let reads = 0;
  const read = async (): Promise<GroupShape | undefined> => {
    reads += 1;
    await sleep(clock, 4);
    return clock.monotonic() >= knownAfterMs ? shape : undefined;
  };
  const lowest = (): number =>
    Math.min(...Array.from({ length: ranks }, (_, n) => n).filter((n) => !gone.has(n)));
  const start = (rank: number): void => {
    void awaitShape({
      read,
      ask: async () => known.get(lowest()),
      rank,
      isLowest: () => lowest() === rank,
      isStopped: () => gone.has(rank),
      clock,
    }).then((found) => {
      if (found) known.set(rank, found);
    });
  };
  return { clock, known, gone, start, reads: () => reads };
};

describe("a group's shape", () => {
  // Sixty-three agents start four seconds before the operators have written what they want. Each asked the
  // platform every one and a half seconds: some 190 calls, each paid for.
  it('is read by few agents and told to the others', async () => {
    const { clock, known, start, reads } = startAll(63, 4_000);
    for (let rank = 0; rank < 63; rank += 1) start(rank);
    await clock.advance(8_000);
    expect(known.size).to.equal(63);
    expect(reads()).to.be.at.most(20);
  });

  // The agents of the lowest ranks never came up. The next one has nobody to ask, and reads it itself.
  it('is read by the lowest that is there', async () => {
    const { clock, known, gone, start } = startAll(12, 0);
    [0, 1, 2, 3, 4].forEach((rank) => gone.add(rank));
    for (let rank = 5; rank < 12; rank += 1) start(rank);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await clock.advance(6_000);
    expect(known.size).to.equal(7);
  });

  it('is told whole or not at all', () => {
    expect(readToldShape({ ...shape })).to.deep.equal(shape);
    expect(readToldShape({ ...shape, targetPauseMs: undefined })?.sets).to.equal(8);
    [undefined, 'x', {}, { ...shape, sets: '8' }, { ...shape, copyMs: NaN }].forEach((value) => {
      expect(readToldShape(value)).to.equal(undefined);
    });
  });
});
