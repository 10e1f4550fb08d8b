import { exitCodes } from './exit-codes.js';

/** A broken invariant: the process must stop, and the message goes to its maintainers. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';

  readonly exitCode = exitCodes.internal;
}
