import type { Random } from '@plantaindrum/common';

/** A seeded source of random numbers (mulberry32): the same seed gives the same sequence. */
export const createSeededRandom = (seed: number): Random => {
  let state = Math.trunc(seed) % 4_294_967_296;
  /* eslint-disable no-bitwise */
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
  /* eslint-enable no-bitwise */
};
