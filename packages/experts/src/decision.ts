import type { Decision, Vote } from './messages.js';

/**
 * What the votes of a group decide, if they do. All ranks armed: switch. One refusal: abort. Both
 * can't be seen, by anybody at any time, because each engine gives one of the two votes for good;
 * so everyone who decides, decides the same.
 */
export const decisionOf = (votes: readonly Vote[], rankCount: number): Decision | undefined => {
  if (votes.some(({ vote }) => vote === 'refused')) return 'abort';
  if (votes.some(({ vote }) => vote === 'switched')) return 'switch';
  const armed = new Set(votes.filter(({ vote }) => vote === 'armed').flatMap(({ ranks }) => ranks));
  return armed.size >= rankCount ? 'switch' : undefined;
};
