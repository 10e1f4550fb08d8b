import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpSenderOptions, PlatformFailure } from './http.js';
import { createHttpSender, isSuccess, parseJson, statusFailure } from './http.js';

/** One VM as the platform's list shows it; the list lags. */
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
  /** Expert group and the ranks of it that this VM serves. */
  group?: string;
  ranks?: number[];
}

/** Reads the platform's list of VMs. */
export interface VmListClient {
  /** Answers the very same array as before when the platform says that nothing has changed. */
  list(): Promise<Result<Vm[], PlatformFailure>>;
  close(): Promise<void>;
}

/** Address and limits of a VM list client. */
export interface VmListOptions extends HttpSenderOptions {
  /** Full address of the list. */
  url: string;
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const NOT_MODIFIED = 304;

/** The last list that was read whole, with its validator (RFC 9110, 8.8.3). */
interface KnownList {
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

/** Creates a client for the list of VMs (Prometheus HTTP service discovery). */
export const createVmListClient = (options: VmListOptions): VmListClient => {
  const http = createHttpSender(options);
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  let known: KnownList | undefined;

  const remember = (etag: string | string[] | undefined, vms: Vm[]): void => {
    known = typeof etag === 'string' ? { etag, vms } : undefined;
  };

  /** In a large fleet the list is megabytes long and seldom changes, so it is asked for by ETag. */
  const list = async (): Promise<Result<Vm[], PlatformFailure>> => {
    const headers: Record<string, string> = known ? { 'if-none-match': known.etag } : {};
    const sent = await http.send({ method: 'GET', url: options.url, headers, timeoutMs });
    if (!sent.ok) return sent;
    if (sent.value.status === NOT_MODIFIED && known) return ok(known.vms);
    if (!isSuccess(sent.value)) return fail(statusFailure(sent.value));
    const body = parseJson(sent.value);
    const vms = body.ok ? parseVmList(body.value) : body;
    if (vms.ok) remember(sent.value.headers.etag, vms.value);
    return vms;
  };
  return { list, close: http.close };
};
