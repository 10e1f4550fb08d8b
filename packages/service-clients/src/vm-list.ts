import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpClientOptions, PlatformFailure } from './http.js';
import { createHttpClient, isSuccess, parseJson, statusFailure } from './http.js';

/** One VM in the platform's list, which may be out of date. */
export interface Vm {
  name: string;
  /** Link address, `host:port`. */
  address: string;
  role: 'entry' | 'upstream';
  dataCentre: string;
  region: string;
  state: 'live' | 'leaving';
  kind?: 'model' | 'service';
  model?: string;
  service?: string;
  /** Expert group of this VM; `ranks` are the ranks of the group that it serves. */
  group?: string;
  ranks?: number[];
}

/** Reads the platform's list of VMs. */
export interface VmListClient {
  /** Returns the same array instance as before while the platform reports no change. */
  list(): Promise<Result<Vm[], PlatformFailure>>;
  close(): Promise<void>;
}

/** Options of `createVmListClient`. */
export interface VmListOptions extends HttpClientOptions {
  /** Full address of the list. */
  url: string;
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const NOT_MODIFIED = 304;

/** The last list that was read, with its validator (RFC 9110, 8.8.3). */
interface CachedList {
  etag: string;
  vms: Vm[];
}

const parseRanks = (text: string | undefined): number[] =>
  (text ?? '')
    .split(',')
    .filter((part) => part !== '')
    .map(Number)
    .filter(Number.isSafeInteger);

const parseVm = (address: string, labels: Record<string, string>): Vm => {
  const { kind, model, service, group, ranks } = labels;
  return {
    name: labels.vm ?? address,
    address,
    role: labels.role === 'upstream' ? 'upstream' : 'entry',
    dataCentre: labels.data_centre ?? '',
    region: labels.region ?? '',
    state: labels.state === 'leaving' ? 'leaving' : 'live',
    ...(kind === 'model' || kind === 'service' ? { kind } : {}),
    ...(model === undefined ? {} : { model }),
    ...(service === undefined ? {} : { service }),
    ...(group === undefined ? {} : { group, ranks: parseRanks(ranks) }),
  };
};

/** Parses the Prometheus HTTP service discovery format. */
export const parseVmList = (body: unknown): Result<Vm[], PlatformFailure> => {
  if (!Array.isArray(body)) return fail({ kind: 'unknown', detail: 'not a list of targets' });
  const groups = body as { targets?: string[]; labels?: Record<string, string> }[];
  return ok(
    groups.flatMap(({ targets, labels }) =>
      (targets ?? []).map((target) => parseVm(target, labels ?? {})),
    ),
  );
};

/** Creates a client for the platform's VM list (Prometheus HTTP service discovery). */
export const createVmListClient = (options: VmListOptions): VmListClient => {
  const http = createHttpClient(options);
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  let cached: CachedList | undefined;

  const updateCache = (etag: string | string[] | undefined, vms: Vm[]): void => {
    cached = typeof etag === 'string' ? { etag, vms } : undefined;
  };

  /** In a large fleet the list is megabytes long and seldom changes, so the request is conditional. */
  const list = async (): Promise<Result<Vm[], PlatformFailure>> => {
    const headers: Record<string, string> = cached ? { 'if-none-match': cached.etag } : {};
    const result = await http.send({ method: 'GET', url: options.url, headers, timeoutMs });
    if (!result.ok) return result;
    if (result.value.status === NOT_MODIFIED && cached) return ok(cached.vms);
    if (!isSuccess(result.value)) return fail(statusFailure(result.value));
    const body = parseJson(result.value);
    const vms = body.ok ? parseVmList(body.value) : body;
    if (vms.ok) updateCache(result.value.headers.etag, vms.value);
    return vms;
  };
  return { list, close: http.close };
};
