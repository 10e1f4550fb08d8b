import type { Intent } from '../types.js';

/**
 * Whether the stream routes of a service have different priorities. An organisation's own priority doesn't count: it
 * orders the requests where admission by priority is on, and many deployments set it for all organisations alike.
 */
export const hasSeveralPriorities = (intent: Intent, service: string): boolean => {
  const routes = intent.routes.filter(
    ({ kind, services }) =>
      kind === 'stream' && services.some((weighted) => weighted.service === service),
  );
  return new Set(routes.map(({ priority }) => priority)).size > 1;
};
