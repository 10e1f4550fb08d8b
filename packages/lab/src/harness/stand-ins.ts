import { request } from 'undici';
import type { ChildSpec } from './child.js';

/** Ready line of the platform stand-in. */
export interface PlatformReady {
  log: string;
  /** URL of the VM list, with its path. */
  vms: string;
  weights: string;
}

/** Ready line of an engine group. */
export interface EnginesReady {
  engines: string[];
  control: string;
}

/** Ready line of a plain service. */
export interface ServiceReady {
  url: string;
  control: string;
}

/** One target group of the VM list. */
export interface VmTargets {
  targets: string[];
  labels: Record<string, string>;
}

/** Command line flags of a stand-in. */
export type Flags = Record<string, string | number | boolean>;

const SCRIPT = 'packages/stand-ins/dist/main.js';

const toArguments = (flags: Flags): string[] =>
  Object.entries(flags).map(([name, value]) => `--${name}=${String(value)}`);

const standInSpec = (kind: string, name: string, flags: Flags): ChildSpec => ({
  name,
  script: SCRIPT,
  args: [kind, ...toArguments(flags)],
});

/** The log, VM list and weight store in one process. */
export const platformSpec = (flags: Flags = {}): ChildSpec =>
  standInSpec('platform', 'platform', flags);

/** One process with the engines of an expert group. */
export const enginesSpec = (name: string, flags: Flags = {}): ChildSpec =>
  standInSpec('engines', name, flags);

/** One replica of a plain service. */
export const serviceSpec = (name: string, flags: Flags = {}): ChildSpec =>
  standInSpec('service', name, flags);

const send = async (method: 'PUT' | 'POST', url: string, body: unknown): Promise<void> => {
  const res = await request(url, {
    method,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`${method} ${url}: ${res.statusCode} ${text}`);
};

/** Sets the VM list; readers see the change after the list's lag. */
export const putVms = (url: string, vms: VmTargets[]): Promise<void> => send('PUT', url, vms);

/** Turns faults of a stand-in on or off. */
export const setFaults = (url: string, faults: Record<string, unknown>): Promise<void> =>
  send('POST', `${url}/faults`, faults);

/** Fetches a JSON document from a stand-in's control URL. */
export const getJson = async <T>(url: string): Promise<T> => {
  const res = await request(url);
  return (await res.body.json()) as T;
};

/** Requests that a plain service counted. */
export interface ServiceCounts {
  total: number;
  inFlight: number;
  byKey: Record<string, number>;
  byPath: Record<string, number>;
}

/** State and counts of one engine. */
export interface EngineView {
  url: string;
  running: number;
  waiting: number;
  started: number;
  finished: number;
  cancelled: number;
  /** Orders that a fault delays. */
  heldOrders: number;
  tokens: number;
}

/** Steps that the oracle of an expert group observed. */
export interface GroupOracle {
  steps: number;
  mixedSteps: number;
  splitSteps: number;
  stepsByVersion: Record<string, number>;
}

/** Fetches a plain service's counts from its control URL. */
export const serviceCounts = (control: string) => getJson<ServiceCounts>(`${control}/counts`);

/** Fetches the state of a group's engines from its control URL. */
export const engineViews = (control: string) => getJson<EngineView[]>(`${control}/state`);

/** Fetches the number of generations started in a group's engines, by completion id. */
export const generationStarts = (control: string) =>
  getJson<Record<string, number>>(`${control}/starts`);

/** Fetches the observations of a group's oracle from its control URL. */
export const groupOracle = (control: string) => getJson<GroupOracle>(`${control}/oracle`);
