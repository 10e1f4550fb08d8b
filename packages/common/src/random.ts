/** A source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** The random source of this process. */
export const systemRandom: Random = Math.random;
