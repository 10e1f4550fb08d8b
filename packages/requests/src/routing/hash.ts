/* eslint-disable no-bitwise -- hash functions work on bits */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Spreads the bits of a 32-bit number (the finalizer of MurmurHash3). */
const mix = (value: number): number => {
  let h = value;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
};

/** Hashes a text to 32 bits (FNV-1a, mixed). */
export const hashText = (text: string): number => {
  let h = FNV_OFFSET;
  for (let n = 0; n < text.length; n += 1) h = Math.imul(h ^ text.charCodeAt(n), FNV_PRIME);
  return mix(h >>> 0);
};

/** Combines two hashes into one; the order matters. */
export const combineHashes = (a: number, b: number): number => mix((Math.imul(a, 31) + b) >>> 0);

/**
 * Length of the prompt prefix that is hashed, in characters; shared instructions are usually
 * longer.
 */
const PREFIX_CHARACTERS = 256;

/** Affinity key: prompts with the same prefix get the same key, and so reach the same cache. */
export const prefixHash = (prompt: string): string =>
  hashText(prompt.slice(0, PREFIX_CHARACTERS)).toString(36);
