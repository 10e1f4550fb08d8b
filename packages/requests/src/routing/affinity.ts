import { combineHashes, hashText } from './hash.js';

/** Remembers which upstreams are said to hold a prefix; old prefixes are forgotten first. */
export interface CacheHints {
  note(upstream: string, prefix: string, holds: boolean): void;
  holders(prefix: string): ReadonlySet<string>;
}

const NONE: ReadonlySet<string> = new Set();
const DEFAULT_LIMIT = 4_096;

/** Creates the hints. They are only hints: a lost event costs a cache hit, nothing else. */
export const createCacheHints = (limit = DEFAULT_LIMIT): CacheHints => {
  const byPrefix = new Map<string, Set<string>>();

  const forgetOldest = () => {
    const [oldest] = byPrefix.keys();
    if (byPrefix.size > limit && oldest !== undefined) byPrefix.delete(oldest);
  };

  return {
    note: (upstream, prefix, holds) => {
      const holders = byPrefix.get(prefix) ?? new Set<string>();
      if (holds) holders.add(upstream);
      else holders.delete(upstream);
      byPrefix.delete(prefix);
      if (holders.size > 0) byPrefix.set(prefix, holders);
      forgetOldest();
    },
    holders: (prefix) => byPrefix.get(prefix) ?? NONE,
  };
};

/** Upstreams in the rendezvous order of a prefix: the same for every entry. */
export const rendezvousOrder = (prefix: string, upstreams: readonly string[]): string[] => {
  const seed = hashText(prefix);
  return upstreams
    .map((id) => ({ id, hash: combineHashes(seed, hashText(id)) }))
    .sort((a, b) => b.hash - a.hash)
    .map(({ id }) => id);
};
