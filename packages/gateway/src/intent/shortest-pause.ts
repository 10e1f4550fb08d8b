/** Combines the latency targets of all routes that lead to one service. */

import type { Route } from '../types.js';

/**
 * Returns the shortest target pause between two events that a route sets for the service, in ms; undefined if none
 * does.
 */
export const shortestPause = (
  routes: readonly Pick<Route, 'services' | 'targetPauseMs'>[],
  service: string | undefined,
): number | undefined => {
  const matching = routes.filter(({ services }) =>
    services.some((weighted) => weighted.service === service),
  );
  const targets = matching.flatMap(({ targetPauseMs }) => targetPauseMs ?? []);
  return targets.length > 0 ? Math.min(...targets) : undefined;
};
