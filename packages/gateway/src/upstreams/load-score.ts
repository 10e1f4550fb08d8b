/** Load scores: the upstream with the lowest score gets the next request first. */

import type { Upstream } from './upstream.js';

/** Penalty for an upstream in another data centre, as a fraction of its slots: about one request. */
const REMOTE_PENALTY = 0.13;
/** Penalty for an upstream whose failure rate is 1. */
const FAILURE_PENALTY = 4;
/** Penalty for an upstream that is warming up. */
const WARMUP_PENALTY = 0.5;

/** Load that an upstream would have with one more request, plus penalties for distance, warm-up and failures. */
export const loadScoreOf = (upstream: Upstream, dataCentre: string): number => {
  const { record } = upstream;
  const remote = record.dataCentre === dataCentre ? 0 : REMOTE_PENALTY;
  const warming = upstream.isWarming() ? WARMUP_PENALTY : 0;
  return upstream.loadScoreOfNext() + remote + warming + upstream.failureRate() * FAILURE_PENALTY;
};
