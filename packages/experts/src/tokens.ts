/** Tokens by layer and expert. */
export type TokenCounts = number[][];

/** Adds counts up, layer by layer and expert by expert. */
export const sumTokens = (counts: readonly TokenCounts[]): TokenCounts => {
  const [first, ...rest] = counts;
  if (!first) return [];
  const sum = first.map((layer) => [...layer]);
  for (const other of rest) {
    other.forEach((layer, l) => {
      const target = sum[l] ?? [];
      layer.forEach((tokens, e) => {
        target[e] = (target[e] ?? 0) + tokens;
      });
      sum[l] = target;
    });
  }
  return sum;
};
