import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpAnswer, HttpSenderOptions, PlatformFailure } from './http.js';
import { createHttpSender, isSuccess, parseJson, statusFailure } from './http.js';
import type { Log, LogFailure, LogOffsets, LogRecord } from './log.js';

/** Address and limits of a log client. */
export interface LogClientOptions extends HttpSenderOptions {
  /** Base address of the log service. */
  url: string;
  /** Time for an append or an offsets call, and for a read beyond its wait, in milliseconds. */
  timeoutMs?: number;
  maxBytes?: number;
}

const KAFKA_JSON = 'application/vnd.kafka.json.v2+json';
const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_BYTES = 4_194_304;
const DEFAULT_RETRY_AFTER_MS = 500;

const MALFORMED: PlatformFailure = { kind: 'unknown', detail: 'answer of another shape' };

const logKinds: Record<PlatformFailure['kind'], LogFailure['kind']> = {
  unreachable: 'unavailable',
  unavailable: 'unavailable',
  rejected: 'unavailable',
  'rate-limited': 'throttled',
  unknown: 'unknown',
};

const logFailure = (failure: PlatformFailure): LogFailure => ({
  kind: logKinds[failure.kind],
  retryAfterMs: failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
});

const answerFailure = (answer: HttpAnswer): LogFailure =>
  answer.status === 404
    ? { kind: 'out-of-range', retryAfterMs: 0 }
    : logFailure(statusFailure(answer));

const isOffset = (value: unknown): value is number => Number.isSafeInteger(value);

const parseAppended =
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

/** Creates a client for the log service by its Kafka REST interface; it never repeats a call. */
export const createLogClient = (options: LogClientOptions): Log & { close(): Promise<void> } => {
  const http = createHttpSender(options);
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const maxBytes = options.maxBytes ?? DEFAULT_MAX_BYTES;
  const base = options.url.replace(/\/$/, '');
  const pathOf = (topic: string, partition: number): string =>
    `${base}/topics/${encodeURIComponent(topic)}/partitions/${partition}`;

  const parsed = <T>(
    sent: Result<HttpAnswer, PlatformFailure>,
    parse: (body: unknown) => T | undefined,
  ): Result<T, LogFailure> => {
    if (!sent.ok) return fail(logFailure(sent.err));
    if (!isSuccess(sent.value)) return fail(answerFailure(sent.value));
    const body = parseJson(sent.value);
    if (!body.ok) return fail(logFailure(body.err));
    const value = parse(body.value);
    return value === undefined ? fail(logFailure(MALFORMED)) : ok(value);
  };

  const get = (url: string, waitMs: number) =>
    http.send({
      method: 'GET',
      url,
      headers: { accept: KAFKA_JSON },
      timeoutMs: waitMs + timeoutMs,
    });

  const append: Log['append'] = async (topic, partition, values) => {
    const sent = await http.send({
      method: 'POST',
      url: pathOf(topic, partition),
      headers: { 'content-type': KAFKA_JSON, accept: KAFKA_JSON },
      body: JSON.stringify({ records: values.map((value) => ({ value })) }),
      timeoutMs,
    });
    return parsed(sent, parseAppended(values.length));
  };

  const read: Log['read'] = async (topic, partition, offset, waitMs) => {
    const query = `offset=${offset}&timeout=${waitMs}&max_bytes=${maxBytes}`;
    return parsed(await get(`${pathOf(topic, partition)}/records?${query}`, waitMs), parseRecords);
  };

  const offsets: Log['offsets'] = async (topic, partition) =>
    parsed(await get(`${pathOf(topic, partition)}/offsets`, 0), parseRange);

  return { append, read, offsets, close: http.close };
};
