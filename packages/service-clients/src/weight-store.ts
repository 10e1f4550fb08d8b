import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpClientOptions, PlatformFailure } from './http.js';
import { createHttpClient, statusFailure } from './http.js';

/** Identifies the weights of one expert. */
export interface WeightName {
  model: string;
  layer: number;
  expert: number;
}

/** A range of one expert's weights. */
export interface WeightPart {
  /** Offset of the first byte. */
  from: number;
  data: Buffer;
  /** Size of the expert's complete weights, in bytes. */
  size: number;
}

/** Reads the rate-limited weight store in ranges, so that an interrupted read can be resumed. */
export interface WeightStoreClient {
  /** Reads up to `length` bytes from offset `from` on; fewer at the end. */
  read(
    name: WeightName,
    from: number,
    length: number,
  ): Promise<Result<WeightPart, PlatformFailure>>;
  close(): Promise<void>;
}

/** Options of `createWeightStoreClient`. */
export interface WeightStoreOptions extends HttpClientOptions {
  /** Base address of the store, without `/weights`. */
  url: string;
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;

/** Parses Content-Range (RFC 9110, 14.4), for example `bytes 0-99/1000`. */
const parseContentRange = (header: unknown): { from: number; size: number } | undefined => {
  const match = /^bytes (\d+)-\d+\/(\d+)$/.exec(String(header));
  return match ? { from: Number(match[1]), size: Number(match[2]) } : undefined;
};

/** Creates a client for the weight store. */
export const createWeightStoreClient = (options: WeightStoreOptions): WeightStoreClient => {
  const http = createHttpClient(options);
  const base = options.url.replace(/\/$/, '');
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  const read: WeightStoreClient['read'] = async ({ model, layer, expert }, from, length) => {
    const url = `${base}/weights/${encodeURIComponent(model)}/${layer}/${expert}`;
    const headers = { range: `bytes=${from}-${from + length - 1}` };
    const result = await http.send({ method: 'GET', url, headers, timeoutMs });
    if (!result.ok) return result;
    const { status, body } = result.value;
    if (status === 200) return ok({ from: 0, data: body, size: body.length });
    if (status !== 206) return fail(statusFailure(result.value));
    const range = parseContentRange(result.value.headers['content-range']);
    if (range?.from !== from) return fail({ kind: 'unknown', detail: 'unexpected range' });
    return ok({ from, data: body, size: range.size });
  };
  return { read, close: http.close };
};
