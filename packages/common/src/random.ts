/** A source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** The random source of this process. */
export const systemRandom: Random = Math.random;

/** Creates a reproducible source (mulberry32), for tests and experiments. */
export const createSeededRandom = (seed: number): Random => {
  let state = Math.trunc(seed);
  return () => {
    /* eslint-disable no-bitwise -- the generator works on bits */
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), state | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
    /* eslint-enable no-bitwise */
  };
};
