import type { Decision, Vote } from './messages.js';

/**
 * Decision that follows from the votes, if they suffice: switch when all ranks are armed, abort
 * when one refused. An engine's vote is final, so no two agents can come to different decisions.
 */
export const decisionOf = (votes: readonly Vote[], rankCount: number): Decision | undefined => {
  if (votes.some(({ vote }) => vote === 'refused')) return 'abort';
  if (votes.some(({ vote }) => vote === 'switched')) return 'switch';
  const armed = new Set(votes.filter(({ vote }) => vote === 'armed').flatMap(({ ranks }) => ranks));
  return armed.size >= rankCount ? 'switch' : undefined;
};
