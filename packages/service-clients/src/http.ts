import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import { Agent, request } from 'undici';

/** What became of a call to the platform that gave no usable answer. */
export type PlatformFailureKind =
  /** No connection was made, so the call had no effect. */
  | 'unreachable'
  /** The service answered that it takes nothing now (503); no effect. */
  | 'unavailable'
  /** Over the rate limit (429); no effect. */
  | 'rate-limited'
  /** The service refused the call as such (other 4xx); no effect. */
  | 'rejected'
  /** The answer was lost: the call may or may not have had its effect. */
  | 'unknown';

/** A failed call to the platform. */
export interface PlatformFailure {
  kind: PlatformFailureKind;
  detail: string;
  /** The service's own Retry-After, in milliseconds. */
  retryAfterMs?: number;
}

/** An HTTP answer whose body has been read. */
export interface HttpAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
}

/** One call to the platform. */
export interface HttpCall {
  method: 'GET' | 'POST';
  url: string;
  headers?: Record<string, string>;
  body?: string;
  /** Time for the whole answer, in milliseconds. */
  timeoutMs: number;
}

/** Sends calls to one service of the platform; it never repeats a call by itself. */
export interface HttpSender {
  send(call: HttpCall): Promise<Result<HttpAnswer, PlatformFailure>>;
  close(): Promise<void>;
}

/** Identification and limits of an HTTP sender. */
export interface HttpSenderOptions {
  /** Sent as `x-client`, so that the platform's logs tell the callers apart. */
  client: string;
  /** Most open connections to one service. */
  connections?: number;
  connectTimeoutMs?: number;
}

const NOT_CONNECTED = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const codeOf = (err: unknown): string => {
  const { code, name } = err as { code?: unknown; name?: unknown };
  return String(code ?? name ?? err);
};

/** A connection that was never made carried nothing; after that the effect is in doubt. */
const failureOf = (err: unknown): PlatformFailure => {
  const code = codeOf(err);
  return { kind: NOT_CONNECTED.has(code) ? 'unreachable' : 'unknown', detail: code };
};

const retryAfterOf = (answer: HttpAnswer): number | undefined => {
  const seconds = Number(answer.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1000 : undefined;
};

const kindOf = (status: number): PlatformFailureKind => {
  if (status === 429) return 'rate-limited';
  if (status === 503) return 'unavailable';
  if (status >= 400 && status < 500) return 'rejected';
  return 'unknown';
};

/** The failure that a status other than 2xx stands for. */
export const statusFailure = (answer: HttpAnswer): PlatformFailure => {
  const retryAfterMs = retryAfterOf(answer);
  return {
    kind: kindOf(answer.status),
    detail: `HTTP ${answer.status}`,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
};

/** Whether an answer's status is 2xx. */
export const isSuccess = (answer: HttpAnswer): boolean =>
  answer.status >= 200 && answer.status < 300;

/** Parses a body as JSON; text that is not JSON leaves the call's effect unknown. */
export const parseJson = (answer: HttpAnswer): Result<unknown, PlatformFailure> => {
  try {
    return ok(JSON.parse(answer.body.toString('utf8')));
  } catch {
    return fail({ kind: 'unknown', detail: 'answer is not JSON' });
  }
};

/** Creates a sender with its own pool of connections. */
export const createHttpSender = (options: HttpSenderOptions): HttpSender => {
  const dispatcher = new Agent({
    connections: options.connections ?? 8,
    connect: { timeout: options.connectTimeoutMs ?? 1_000 },
    pipelining: 1,
  });

  const send = async (call: HttpCall): Promise<Result<HttpAnswer, PlatformFailure>> => {
    try {
      const res = await request(call.url, {
        dispatcher,
        method: call.method,
        headers: { 'x-client': options.client, ...call.headers },
        body: call.body ?? null,
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      return ok({ status: res.statusCode, headers: res.headers, body });
    } catch (err) {
      return fail(failureOf(err));
    }
  };

  return { send, close: () => dispatcher.destroy() };
};
