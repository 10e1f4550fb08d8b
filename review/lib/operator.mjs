// The operator's desired state, as PROTOCOL.md describes it.

export const HOST = 'review.example';
export const API_KEY = 'n2ctnfzs989anu6wsjnb';

const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** A route at the path `/NAME/`. */
export const routeTo = (name, service, kind, more = {}) => ({
  ...{ name, hostname: HOST, path_prefix: `/${name}/`, route_type: kind, service },
  ...{ timeout_ms: 8_000, target_latency_ms: 400, priority: 1, max_attempts: 2, anonymous: false },
  ...(kind === 'streaming' ? { gap_aim_ms: 120, session_affinity: true } : {}),
  ...more,
});

/** Writes the desired state; the time of the ack is returned. */
export const putDesiredState = (store, version, routes, maxConnections = 408) =>
  store.put('keyed.op', 'config', {
    version,
    routes,
    services: [...new Set(routes.map(({ service }) => service))].map((name) => ({
      name,
      max_connections: maxConnections,
      health_path: '/healthz',
    })),
    limits: LIMITS,
    tenants: [{ name: 'hule930', api_keys: [API_KEY] }],
  });
