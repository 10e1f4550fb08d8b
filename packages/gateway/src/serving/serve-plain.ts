/** A request without a stream: its answer is read whole before the caller sees any of it. */

import { createRounds, readWhole } from './rounds.js';
import type { Rounds } from './rounds.js';
import type { CallerRequest, ServingDeps } from './types.js';

/** Share of the time left after which another upstream is asked, if the request may repeat. */
const IMPATIENT_SHARE = 0.4;

/** Serves one request; resolves when its answer has been given or its caller has gone. */
export const servePlain = (request: CallerRequest, deps: ServingDeps): Promise<void> => {
  const { route } = request;
  const mayRepeat = route.kind === 'safe';

  const patience = (rounds: Rounds): number | undefined => {
    const isLast = !mayRepeat || rounds.sent() + 1 >= route.maxAttempts;
    return isLast ? undefined : rounds.left() * IMPATIENT_SHARE;
  };

  const rounds = createRounds(
    request,
    { mayRepeat, patience, pauseMs: () => 0, watch: () => () => {} },
    deps,
  );
  return rounds.run(readWhole);
};
