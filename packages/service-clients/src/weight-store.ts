import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpSenderOptions, PlatformFailure } from './http.js';
import { createHttpSender, statusFailure } from './http.js';

/** Names one expert's weights. */
export interface WeightName {
  model: string;
  layer: number;
  expert: number;
}

/** A part of one expert's weights. */
export interface WeightPart {
  /** Position of the first byte. */
  from: number;
  data: Buffer;
  /** Size of the whole, in bytes. */
  size: number;
}

/** Reads the rate-limited weight store by ranges, so that a broken read can go on. */
export interface WeightStoreClient {
  /** Up to `length` bytes from `from` on; fewer at the end. */
  read(
    name: WeightName,
    from: number,
    length: number,
  ): Promise<Result<WeightPart, PlatformFailure>>;
  close(): Promise<void>;
}

/** Address and limits of a weight store client. */
export interface WeightStoreOptions extends HttpSenderOptions {
  /** Base address of the store, without `/weights`. */
  url: string;
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;

/** Content-Range as RFC 9110 section 14.4 gives it: `bytes 0-99/1000`. */
const parseContentRange = (text: unknown): { from: number; size: number } | undefined => {
  const match = /^bytes (\d+)-\d+\/(\d+)$/.exec(String(text));
  return match ? { from: Number(match[1]), size: Number(match[2]) } : undefined;
};

/** Creates a client for the weight store. */
export const createWeightStoreClient = (options: WeightStoreOptions): WeightStoreClient => {
  const http = createHttpSender(options);
  const base = options.url.replace(/\/$/, '');
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  const read: WeightStoreClient['read'] = async ({ model, layer, expert }, from, length) => {
    const url = `${base}/weights/${encodeURIComponent(model)}/${layer}/${expert}`;
    const headers = { range: `bytes=${from}-${from + length - 1}` };
    const sent = await http.send({ method: 'GET', url, headers, timeoutMs });
    if (!sent.ok) return sent;
    const { status, body } = sent.value;
    if (status === 200) return ok({ from: 0, data: body, size: body.length });
    if (status !== 206) return fail(statusFailure(sent.value));
    const range = parseContentRange(sent.value.headers['content-range']);
    if (range?.from !== from) return fail({ kind: 'unknown', detail: 'another range answered' });
    return ok({ from, data: body, size: range.size });
  };
  return { read, close: http.close };
};
