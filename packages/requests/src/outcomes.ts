/**
 * Final outcome of a request.
 * - `answered`: the complete answer reached the caller.
 * - `not-run`: the request is known not to have run, and can't run later.
 * - `unknown`: the request may have run, but there is no complete answer.
 */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Priority lanes, most urgent first. */
export const LANES = ['live', 'normal', 'background'] as const;

/** A priority lane. */
export type Lane = (typeof LANES)[number];
