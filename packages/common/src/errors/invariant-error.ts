import { exitCodes } from './exit-codes.js';

/** Thrown when an invariant is broken, which stops the process; the message is for maintainers. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';

  readonly exitCode = exitCodes.internal;
}
