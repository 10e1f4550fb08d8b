/** What speaks against sending the next request to an upstream, in slots over slots. */

import type { Upstream } from './upstream.js';

/** Load that an upstream in another data centre must be below one nearby to be chosen: about one request. */
const ELSEWHERE_COST = 0.13;
/** Load that a failing upstream seems to have more, at a failure share of 1. */
const FAILURE_COST = 4;
/** Load that an upstream seems to have more while it warms up. */
const WARMUP_COST = 0.5;

/** Load that one more request would bring, and more for distance, warming up and failures. */
export const costOf = (upstream: Upstream, dataCentre: string): number => {
  const { record } = upstream;
  const away = record.dataCentre === dataCentre ? 0 : ELSEWHERE_COST;
  const warming = record.warmupLeftMs > 0 ? WARMUP_COST : 0;
  return upstream.costOfNext() + away + warming + upstream.failureShare() * FAILURE_COST;
};
