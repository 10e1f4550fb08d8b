/** Sums the tokens of an engine's ranks by expert and lists the sums that are not zero. */
export const sparseTokens = (
  byRank: readonly (readonly (readonly number[])[])[],
): { at: number[]; tokens: number[] } => {
  const sums = new Map<number, number>();
  for (const layers of byRank) {
    layers.forEach((experts, layer) =>
      experts.forEach((tokens, expert) => {
        const at = layer * experts.length + expert;
        if (tokens > 0) sums.set(at, (sums.get(at) ?? 0) + tokens);
      }),
    );
  }
  return { at: [...sums.keys()], tokens: [...sums.values()] };
};
