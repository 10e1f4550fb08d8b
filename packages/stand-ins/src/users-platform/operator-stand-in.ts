/**
 * Records and settings that the users' operators, servers and VMs write on their platform, for
 * tests.
 */

import type { StoreStandIn } from './store-stand-in.js';

/** Host name of the routes in the desired state. */
export const OPERATOR_HOST = 'h.example';

/** Path at which servers state their instance. */
export const HEALTH_PATH = '/healthz';

const callerLimits = {
  ...{ max_header_bytes: 16_384, max_body_bytes: 100_000 },
  ...{ header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

/** Dimensions of the expert group behind the streaming route. */
export interface OperatorGroup {
  sets: number;
  experts: number;
}

const route = (name: string, kind: string, service: string): Record<string, unknown> => ({
  ...{ name, hostname: OPERATOR_HOST, path_prefix: `/${name}/`, route_type: kind, service },
  ...{ timeout_ms: 3_000, target_latency_ms: 200, priority: 1, max_attempts: 2 },
  ...{ anonymous: false, stream_resume: kind === 'streaming', gap_aim_ms: 120 },
});

/**
 * Publishes a desired state for one organisation with the given API keys: routes `/safe/` and
 * `/once/` to the service `book`, or to another one if it is given, and `/gen/` to the engines of the
 * service `llm`.
 */
export const putDesiredState = (
  store: StoreStandIn,
  version: number,
  keys: readonly string[],
  group: OperatorGroup,
  plainService: 'book' | 'llm' = 'book',
): void =>
  store.put('keyed.op', 'config', {
    version,
    routes: [
      route('safe', 'safe', plainService),
      route('once', 'unsafe', plainService),
      route('gen', 'streaming', 'llm'),
    ],
    services: [
      { name: 'book', max_connections: 100 },
      {
        ...{ name: 'llm', max_connections: 400 },
        engine: { slots: 8, ...group, places: 4, spare: 1, expert_mb: 1, link_mbps: 1_000 },
      },
    ],
    limits: callerLimits,
    tenants: [{ name: 'dealer', api_keys: keys }],
  });

/** Kinds of routes, as the desired state names them. */
export type OperatorRouteKind = 'streaming' | 'safe' | 'unsafe';

/** A route of the desired state, at the path `/NAME/`. */
export interface OperatorRoute {
  name: string;
  kind: OperatorRouteKind;
  service: string;
  isResumable: boolean;
}

/** What all routes of a desired state have in common; times in milliseconds. */
export interface OperatorRouteLimits {
  timeoutMs: number;
  targetMs: number;
  pauseMs: number;
  maxAttempts: number;
  /** How long servers are cold after their start, in seconds, and how many requests a second they tolerate until then. */
  warmup?: { seconds: number; perSecond: number };
}

const MAX_CONNECTIONS = 1_000;
const MAX_BODY_BYTES = 1_000_000;

/** Publishes a desired state with these routes to plain services, each with a health path. */
export const putRoutes = (
  store: StoreStandIn,
  keys: readonly string[],
  routes: readonly OperatorRoute[],
  { timeoutMs, targetMs, pauseMs, maxAttempts, warmup }: OperatorRouteLimits,
): void => {
  const services = [...new Set(routes.map(({ service }) => service))];
  store.put('keyed.op', 'config', {
    version: 1,
    routes: routes.map(({ name, kind, service, isResumable }) => ({
      ...route(name, kind, service),
      ...{ timeout_ms: timeoutMs, target_latency_ms: targetMs, gap_aim_ms: pauseMs },
      ...{ max_attempts: maxAttempts, stream_resume: isResumable },
    })),
    services: services.map((name) => ({
      ...{ name, health_path: HEALTH_PATH, max_connections: MAX_CONNECTIONS },
      ...(warmup && { warmup_s: warmup.seconds, warmup_per_s: warmup.perSecond }),
    })),
    limits: { ...callerLimits, max_body_bytes: MAX_BODY_BYTES },
    tenants: [{ name: 'dealer', api_keys: keys }],
  });
};

/** Publishes the record that a server writes about itself. */
export const listServer = (
  store: StoreStandIn,
  instance: string,
  service: string,
  address: string,
  overrides: Readonly<Record<string, unknown>> = {},
): void =>
  store.put('keyed.servers', instance, {
    ...{ service, address, zone: 'a', version: 'v1', slots: 8 },
    ...{ state: 'ready', warmup_left_ms: 0, sequence: 1, ...overrides },
  });

/** Requests that a data centre be evacuated, or withdraws that. */
export const setEvacuated = (store: StoreStandIn, dataCentre: string, isEvacuated: boolean): void =>
  store.put('keyed.op', `evacuate/${dataCentre}`, isEvacuated ? {} : undefined);

/** Removes a server's record, as after a few missed heartbeats. */
export const unlistServer = (store: StoreStandIn, instance: string): void =>
  store.put('keyed.servers', instance, undefined);

/** Topic of the registry of nodes. */
export const NODE_REGISTRY = 'keyed.plantaindrum-nodes';

/** Values for the settings file of one VM. */
export interface VmSettings {
  node: string;
  ip: string;
  ports: { callers: number; readiness: number; links: number; engine: number };
  /** Data centre; `a` if it isn't given. */
  zone?: string;
  storePort: number;
  retryAllowance: number;
}

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'PLANTAINDRUM_BOOT';

/** Returns the text of a VM's settings file. */
export const settingsText = (vm: VmSettings): string => `
node_name = "${vm.node}"
ip = "${vm.ip}"
zone = "${vm.zone ?? 'a'}"
region = "r"
internal_port_range = [${vm.ports.links},${vm.ports.links + 9}]
seed_nodes = []
service = "llm"
app = "${vm.ip}:${vm.ports.engine}"
[listen]
frontend = "${vm.ip}:${vm.ports.callers}"
readiness = "${vm.ip}:${vm.ports.readiness}"
[limits]
max_fds = 1024
[bounds]
grace_s = 6
retry_budget_ratio = 0.2
retry_window_s = 10
retry_allowance = ${vm.retryAllowance}
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
[platform]
address = "127.0.0.1:${vm.storePort}"
`;

/** Headers that a caller sends with a request. */
export const callerHeaders = (id: string, key: string, waitMs: number): Record<string, string> => ({
  ...{ host: OPERATOR_HOST, 'x-request-id': id },
  ...{ 'x-api-key': key, 'x-deadline-ms': String(waitMs) },
});

/** Returns whether a response carries the stamp of the server that handled it. */
export const hasServerStamp = (headers: Readonly<Record<string, unknown>>): boolean =>
  headers['x-server-stamp'] !== undefined;

/** Headers with which a server states that it has run a request. */
export const serverStamp = (instance: string): Record<string, string> => ({
  'X-Server-Stamp': `stamp-${instance}`,
});

/** Headers that make a server refuse the request unless it is the given instance. */
export const instanceHeaders = (instance: string): Record<string, string> => ({
  'X-Expect-Instance': instance,
});
