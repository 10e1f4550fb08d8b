import { createHash } from 'node:crypto';
import { request } from 'undici';
import {
  createMetrics,
  entrySettingsSchema,
  silentLogger,
  systemClock,
  systemRandom,
} from '@plantaindrum/common';
import type { Metrics } from '@plantaindrum/common';
import type { VmTarget } from '@plantaindrum/stand-ins';
import { createLogStandIn, createVmListStandIn } from '@plantaindrum/stand-ins';
import type { Entry } from '../../src/index.js';
import { startEntry } from '../../src/index.js';

/** Bearer token of the operator server. */
export const TOKEN = 'test-operators-token';
/** API key of the only organisation. */
export const KEY = 'key-rainier';

const keyHash = createHash('sha256').update(KEY).digest('hex');

const changes = [
  { key: 'classes/live', base: -1, value: { latestAnswerMs: 5_000, priority: 'live' } },
  { key: 'classes/export', base: -1, value: { latestAnswerMs: 5_000, mayNotRepeat: true } },
  {
    key: 'organisations/rainier',
    base: -1,
    value: { keyHashes: [keyHash], defaultClass: 'live' },
  },
  {
    key: 'routes/exports',
    base: -1,
    value: { pathPrefix: '/exports', service: 'exports', class: 'export' },
  },
];

/** A response as received; `broken` when the connection ended before the response did. */
export interface ReceivedResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
  broken: boolean;
}

/** One entry with stand-ins for the platform. */
export interface TestSite {
  entry: Entry;
  metrics: Metrics;
  call(path: string, options?: CallOptions): Promise<ReceivedResponse>;
  operators(method: 'GET' | 'POST', path: string, body?: unknown): Promise<ReceivedResponse>;
  /** Closes the entry, unless a test has drained it, and the stand-ins. */
  close(): Promise<void>;
  /** Drains and closes the entry. */
  drain(): Promise<void>;
}

/** Options of a request. */
export interface CallOptions {
  method?: 'GET' | 'POST';
  body?: string;
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

const send = async (url: string, options: CallOptions): Promise<ReceivedResponse> => {
  const res = await request(url, {
    method: options.method ?? 'POST',
    headers: options.headers ?? {},
    body: options.body ?? null,
    ...(options.signal && { signal: options.signal }),
  });
  const parts: Buffer[] = [];
  let broken = false;
  try {
    for await (const part of res.body) parts.push(part as Buffer);
  } catch {
    broken = true;
  }
  const text = Buffer.concat(parts).toString('utf8');
  return { status: res.statusCode, headers: res.headers, text, broken };
};

/** Creates a VM list entry of an upstream that serves a model or a service. */
export const upstreamVm = (
  name: string,
  address: string,
  labels: Record<string, string> = { kind: 'model', model: 'lot-writer' },
): VmTarget => ({
  targets: [address],
  labels: {
    vm: name,
    role: 'upstream',
    data_centre: 'kent',
    region: 'northwest',
    state: 'live',
    ...labels,
  },
});

/** Starts an entry with the given VM list and an intent with one organisation. */
export const startSite = async (
  vms: VmTarget[],
  limits: Record<string, number> = {},
  /** Maps the address of the VM list stand-in to the address that the entry uses. */
  vmListUrl: (url: string) => string = (url) => url,
): Promise<TestSite> => {
  const log = await createLogStandIn();
  const list = await createVmListStandIn({ vms });
  const anyPort = { host: '127.0.0.1', port: 0 };
  const settings = entrySettingsSchema.parse({
    node: { name: 'kent-e1', dataCentre: 'kent', region: 'northwest' },
    callers: anyPort,
    operators: { ...anyPort, token: TOKEN },
    link: anyPort,
    platform: { logUrl: log.url, vmListUrl: vmListUrl(list.url) },
    limits,
  });
  const metrics = createMetrics();
  const deps = { clock: systemClock, random: systemRandom, metrics, log: silentLogger };
  const entry = await startEntry(settings, deps);
  await entry.ready;

  const operators: TestSite['operators'] = (method, path, body) =>
    send(`${entry.operators}${path}`, {
      method,
      headers: { authorization: `Bearer ${TOKEN}` },
      ...(body !== undefined && { body: JSON.stringify(body) }),
    });
  const accepted = await operators('POST', '/intent', { id: 'first', author: 'test', changes });
  if (accepted.status !== 200) throw new Error(accepted.text);

  let ended = false;

  return {
    entry,
    metrics,
    operators,
    call: (path, options = {}) =>
      send(`${entry.callers}${path}`, {
        ...options,
        headers: { authorization: `Bearer ${KEY}`, ...options.headers },
      }),
    drain: async () => {
      ended = true;
      await entry.drain();
    },
    close: async () => {
      if (!ended) await entry.close();
      await list.close();
      await log.close();
    },
  };
};
