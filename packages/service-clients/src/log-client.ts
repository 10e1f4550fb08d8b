import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpClientOptions, HttpResponse, PlatformFailure } from './http.js';
import { createHttpClient, isSuccess, parseJson, statusFailure } from './http.js';
import type { Log, LogFailure, LogOffsets, LogRecord } from './log.js';

/** Options of `createLogClient`. */
export interface LogClientOptions extends HttpClientOptions {
  /** Base address of the log service. */
  url: string;
  /** Timeout of a call in milliseconds; for a read it is added to the wait. */
  timeoutMs?: number;
  /** Maximum size of the response to a read. */
  maxBytes?: number;
}

const KAFKA_JSON = 'application/vnd.kafka.json.v2+json';
const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_BYTES = 4_194_304;
const DEFAULT_RETRY_AFTER_MS = 500;

const MALFORMED_RESPONSE: PlatformFailure = { kind: 'unknown', detail: 'malformed response' };

const logFailureKinds: Record<PlatformFailure['kind'], LogFailure['kind']> = {
  unreachable: 'unavailable',
  unavailable: 'unavailable',
  rejected: 'unavailable',
  'rate-limited': 'throttled',
  unknown: 'unknown',
};

const logFailure = (failure: PlatformFailure): LogFailure => ({
  kind: logFailureKinds[failure.kind],
  retryAfterMs: failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
});

const statusLogFailure = (response: HttpResponse): LogFailure =>
  response.status === 404
    ? { kind: 'out-of-range', retryAfterMs: 0 }
    : logFailure(statusFailure(response));

const isOffset = (value: unknown): value is number => Number.isSafeInteger(value);

const parseAppendOffsets =
  (count: number) =>
  (body: unknown): number[] | undefined => {
    const list = (body as { offsets?: { offset?: unknown }[] } | null)?.offsets;
    if (!Array.isArray(list) || list.length !== count) return undefined;
    const offsets = list.map((entry) => entry?.offset);
    return offsets.every(isOffset) ? offsets : undefined;
  };

const parseRecords = (body: unknown): LogRecord[] | undefined => {
  if (!Array.isArray(body)) return undefined;
  const records = (body as { offset?: unknown; value?: unknown }[]).map((record) => ({
    offset: record?.offset,
    value: record?.value,
  }));
  const isRecord = (record: { offset: unknown }): record is LogRecord => isOffset(record.offset);
  return records.every(isRecord) ? records : undefined;
};

const parseRange = (body: unknown): LogOffsets | undefined => {
  const range = body as { beginning_offset?: unknown; end_offset?: unknown } | null;
  const beginning = range?.beginning_offset;
  const end = range?.end_offset;
  return isOffset(beginning) && isOffset(end) ? { beginning, end } : undefined;
};

/** Creates a client for the log service's Kafka REST interface; it never retries. */
export const createLogClient = (options: LogClientOptions): Log & { close(): Promise<void> } => {
  const http = createHttpClient(options);
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const maxBytes = options.maxBytes ?? DEFAULT_MAX_BYTES;
  const base = options.url.replace(/\/$/, '');
  const partitionUrl = (topic: string, partition: number): string =>
    `${base}/topics/${encodeURIComponent(topic)}/partitions/${partition}`;

  const parseResponse = <T>(
    result: Result<HttpResponse, PlatformFailure>,
    parse: (body: unknown) => T | undefined,
  ): Result<T, LogFailure> => {
    if (!result.ok) return fail(logFailure(result.err));
    if (!isSuccess(result.value)) return fail(statusLogFailure(result.value));
    const body = parseJson(result.value);
    if (!body.ok) return fail(logFailure(body.err));
    const value = parse(body.value);
    return value === undefined ? fail(logFailure(MALFORMED_RESPONSE)) : ok(value);
  };

  const get = (url: string, waitMs: number) =>
    http.send({
      method: 'GET',
      url,
      headers: { accept: KAFKA_JSON },
      timeoutMs: waitMs + timeoutMs,
    });

  const append: Log['append'] = async (topic, partition, values) => {
    const result = await http.send({
      method: 'POST',
      url: partitionUrl(topic, partition),
      headers: { 'content-type': KAFKA_JSON, accept: KAFKA_JSON },
      body: JSON.stringify({ records: values.map((value) => ({ value })) }),
      timeoutMs,
    });
    return parseResponse(result, parseAppendOffsets(values.length));
  };

  const read: Log['read'] = async (topic, partition, offset, waitMs) => {
    const query = `offset=${offset}&timeout=${waitMs}&max_bytes=${maxBytes}`;
    return parseResponse(
      await get(`${partitionUrl(topic, partition)}/records?${query}`, waitMs),
      parseRecords,
    );
  };

  const offsets: Log['offsets'] = async (topic, partition) =>
    parseResponse(await get(`${partitionUrl(topic, partition)}/offsets`, 0), parseRange);

  return { append, read, offsets, close: http.close };
};
