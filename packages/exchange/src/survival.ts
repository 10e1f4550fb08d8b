/** Checks whether the process that sent an answer has lived through the end of it. */

import type { ConnectOutcome, UpstreamAddress } from './connect.js';
import { endOfTurn } from './end-of-turn.js';
import type { ExitCheck } from './exit-check.js';
import type { LivenessConnection } from './liveness.js';

/** Result of asking whether a process has lived through the end of an answer. */
export type SurvivalOutcome =
  | 'alive'
  | 'exited'
  /** Nothing proves either. */
  | 'unconfirmed';

/** Whether the process at an upstream's address is the one that is meant. */
export type Identity = 'same' | 'other' | 'unknown';

/** How a process is asked whether it is still the one that answered. */
export interface SurvivalCheck<Upstream> {
  checkExit: ExitCheck<Upstream>;
  /** Asks the process at the upstream's address which instance it is; `unknown` if it doesn't say. */
  identify: (upstream: Upstream) => Promise<Identity>;
}

/**
 * Checks whether the process that sent an answer has lived through its end: `connection` was open at the end, and newer
 * than the answer's. A new connection is made first, which takes a round trip and tells when nobody listens any more.
 */
export const confirmSurvival = async <Upstream extends UpstreamAddress>(
  upstream: Upstream,
  connection: LivenessConnection | undefined,
  { checkExit, identify }: SurvivalCheck<Upstream>,
): Promise<SurvivalOutcome> => {
  const outcome: ConnectOutcome = await checkExit(upstream);
  if (outcome === 'refused') return 'exited';
  await endOfTurn();
  if (outcome === 'open' && connection?.isOpen()) return 'alive';
  const identity = await identify(upstream);
  if (identity === 'same') return 'alive';
  return identity === 'other' ? 'exited' : 'unconfirmed';
};
