/** What callers of one service want of its streams, over all routes that lead to it. */

import type { Route } from '../types.js';

/** The shortest pause that any of these routes aims for at the service, in ms; undefined where none does. */
export const shortestPause = (
  routes: readonly Pick<Route, 'services' | 'targetPauseMs'>[],
  service: string | undefined,
): number | undefined => {
  const leading = routes.filter(({ services }) =>
    services.some((share) => share.service === service),
  );
  const targets = leading.flatMap(({ targetPauseMs }) => targetPauseMs ?? []);
  return targets.length > 0 ? Math.min(...targets) : undefined;
};
