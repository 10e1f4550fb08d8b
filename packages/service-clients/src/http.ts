import type { Result } from '@plantaindrum/common';
import { createByteBuffer, decodeJson, fail, ok } from '@plantaindrum/common';
import { Agent, request } from 'undici';

/** Why a call to the platform gave no usable response, and whether it may have had an effect. */
export type PlatformFailureKind =
  /** The connection failed, so the call had no effect. */
  | 'unreachable'
  /** The service is unavailable (503); no effect. */
  | 'unavailable'
  /** The rate limit was exceeded (429); no effect. */
  | 'rate-limited'
  /** The service rejected the call (other 4xx); no effect. */
  | 'rejected'
  /** The response was lost or unusable: the call may or may not have had its effect. */
  | 'unknown';

/** A failed call to the platform. */
export interface PlatformFailure {
  kind: PlatformFailureKind;
  detail: string;
  /** Retry-After sent by the service, in milliseconds. */
  retryAfterMs?: number;
}

/** An HTTP response whose body has been read. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
}

/** One HTTP request to the platform. */
export interface HttpRequest {
  method: 'GET' | 'POST';
  url: string;
  headers?: Record<string, string>;
  body?: string;
  /** Timeout of the complete response, in milliseconds. */
  timeoutMs: number;
}

/** HTTP client of one platform service; it never retries. */
export interface HttpClient {
  send(req: HttpRequest): Promise<Result<HttpResponse, PlatformFailure>>;
  close(): Promise<void>;
}

/** Options of `createHttpClient`. */
export interface HttpClientOptions {
  /** Sent as `x-client`, which identifies the caller in the platform's logs. */
  client: string;
  /** Maximum number of open connections to the service. */
  connections?: number;
  connectTimeoutMs?: number;
}

/** Larger responses are not read to their end, in bytes. */
const MAX_BODY_BYTES = 33_554_432;

const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const isTimeout = (err: unknown): boolean => (err as { name?: unknown }).name === 'TimeoutError';

const errorCodeOf = (err: unknown): string => {
  const { code, name } = err as { code?: unknown; name?: unknown };
  return String(code ?? name ?? err);
};

/** A request whose connection failed was never sent; after any other error its effect is unknown. */
const requestFailure = (err: unknown): PlatformFailure => {
  const code = errorCodeOf(err);
  return { kind: CONNECT_ERROR_CODES.has(code) ? 'unreachable' : 'unknown', detail: code };
};

const retryAfterMsOf = (response: HttpResponse): number | undefined => {
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1000 : undefined;
};

const failureKindOf = (status: number): PlatformFailureKind => {
  if (status === 429) return 'rate-limited';
  if (status === 503) return 'unavailable';
  if (status >= 400 && status < 500) return 'rejected';
  return 'unknown';
};

/** The failure for a response whose status is not 2xx. */
export const statusFailure = (response: HttpResponse): PlatformFailure => {
  const retryAfterMs = retryAfterMsOf(response);
  return {
    kind: failureKindOf(response.status),
    detail: `HTTP ${response.status}`,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
};

/** Whether the status of a response is 2xx. */
export const isSuccess = (response: HttpResponse): boolean =>
  response.status >= 200 && response.status < 300;

/** Parses a body as JSON; if it is not JSON, the effect of the call is unknown. */
export const parseJson = (response: HttpResponse): Result<unknown, PlatformFailure> => {
  const value = decodeJson(response.body);
  if (value === undefined) return fail({ kind: 'unknown', detail: 'response is not JSON' });
  return ok(value);
};

/** Creates a client with its own connection pool. */
export const createHttpClient = (options: HttpClientOptions): HttpClient => {
  const createDispatcher = (): Agent =>
    new Agent({
      connections: options.connections ?? 8,
      connect: { timeout: options.connectTimeoutMs ?? 1_000 },
      pipelining: 1,
    });
  let dispatcher = createDispatcher();

  /** What silenced one connection may have silenced the others, so further calls use new ones. */
  const replaceDispatcher = (used: Agent): void => {
    if (used !== dispatcher) return;
    dispatcher = createDispatcher();
    void used.close();
  };

  const send = async (req: HttpRequest): Promise<Result<HttpResponse, PlatformFailure>> => {
    const used = dispatcher;
    try {
      const res = await request(req.url, {
        dispatcher: used,
        method: req.method,
        headers: { 'x-client': options.client, ...req.headers },
        body: req.body ?? null,
        signal: AbortSignal.timeout(req.timeoutMs),
      });
      const body = createByteBuffer();
      for await (const bytes of res.body as AsyncIterable<Uint8Array>) {
        if (body.length() + bytes.length > MAX_BODY_BYTES) {
          return fail({ kind: 'unknown', detail: 'the response is too large' });
        }
        body.append(bytes);
      }
      return ok({ status: res.statusCode, headers: res.headers, body: body.take() });
    } catch (err) {
      if (isTimeout(err)) replaceDispatcher(used);
      return fail(requestFailure(err));
    }
  };

  return { send, close: () => dispatcher.destroy() };
};
