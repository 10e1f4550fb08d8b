import { expect } from 'chai';
import fc from 'fast-check';
import {
  changesBetween,
  createPlacementBook,
  tellChanges,
  tellWhole,
} from '../src/links/placement-deltas.js';
import { deflateNumbers, inflateNumbers, packNumbers, unpackNumbers } from '../src/tree/packing.js';
import type { Placement } from '../src/index.js';

const placements = fc.array(
  fc.array(fc.uniqueArray(fc.nat(9), { maxLength: 3 }), { minLength: 3, maxLength: 3 }),
  { minLength: 2, maxLength: 2 },
);

describe('numbers as bytes', () => {
  it('are read as they were written', () => {
    const counts = fc.array(fc.maxSafeNat());
    fc.assert(
      fc.property(counts, (numbers) => {
        expect(unpackNumbers(packNumbers(numbers))).to.deep.equal(numbers);
        expect(inflateNumbers(deflateNumbers(numbers))).to.deep.equal(numbers);
      }),
      { seed: 3 },
    );
  });

  it('are refused when they end within a number or are none', () => {
    expect(unpackNumbers(Uint8Array.of(1, 200))).to.equal(undefined);
    expect(inflateNumbers(Uint8Array.of(7, 7, 7))).to.equal(undefined);
  });
});

describe('maps as differences', () => {
  it('are rebuilt as they were, whole or from their base', () => {
    fc.assert(
      fc.property(placements, placements, (from: Placement, to: Placement) => {
        const book = createPlacementBook();
        book.put(1, 7, from);
        expect(book.resolve(1, tellChanges(7, from, to))).to.deep.equal(to);
        expect(createPlacementBook().resolve(1, tellWhole(to))).to.deep.equal(to);
      }),
      { seed: 5 },
    );
  });

  it('name only what differs', () => {
    const from = [[[0], [1], [2]]];
    expect(changesBetween(from, [[[0], [1, 0], [2]]])).to.deep.equal([[0, 1, [1, 0]]]);
  });

  // An agent that has started anew, or whose group has, would build its part of a map on another
  // one than the rest; it says that it doesn't know the base, and is sent the whole.
  it('are refused without their base', () => {
    const book = createPlacementBook();
    const known = [[[0], [1], [2]]];
    book.put(1, 7, known);
    expect(book.resolve(1, tellChanges(6, known, known))).to.equal(undefined);
    expect(book.resolve(2, tellChanges(7, known, known))).to.equal(undefined);
    expect(book.find(2, 7)).to.equal(undefined);
  });

  it('are refused when they name a rank that the base does not have', () => {
    const book = createPlacementBook();
    const small = [[[0], [1]]];
    book.put(1, 7, small);
    const told = tellChanges(7, small, [[[0], [1], [2]]]);
    expect(book.resolve(1, told)).to.equal(undefined);
  });
});
