/**
 * What became of a request.
 * - `answered`: the caller got the whole answer.
 * - `not-run`: proved never to have run, and never to run later.
 * - `unknown`: it may have run; there is no whole answer.
 */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Priority lanes, most urgent first. */
export const LANES = ['live', 'normal', 'background'] as const;

/** A priority lane. */
export type Lane = (typeof LANES)[number];
