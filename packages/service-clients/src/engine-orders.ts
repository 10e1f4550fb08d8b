import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpClientOptions, PlatformFailure } from './http.js';
import { createHttpClient, isSuccess, parseJson, statusFailure } from './http.js';

/** Orders that a model engine accepts; see docs/PLATFORM.md. */
export type EngineOrder =
  | 'load_model'
  | 'load_adapter'
  | 'set_role'
  | 'form_group'
  | 'prepare_map'
  | 'arm_map'
  | 'switch_map'
  | 'abort_map'
  | 'refuse_map';

/** Result of an order: executed, or refused by the engine with a reason (`old-fence`, `late`, …). */
export type OrderOutcome =
  { outcome: 'done'; value: unknown } | { outcome: 'refused'; reason: string };

/** Sends orders to one engine and reads its group state. */
export interface EngineOrderClient {
  /** Sends an order; after a failure of kind `unknown` it may have been executed. */
  order(
    name: EngineOrder,
    body: { fence: number } & Record<string, unknown>,
  ): Promise<Result<OrderOutcome, PlatformFailure>>;
  /** The body of `GET /group`, not validated. */
  group(): Promise<Result<unknown, PlatformFailure>>;
  close(): Promise<void>;
}

/** Options of `createEngineOrderClient`. */
export interface EngineOrderOptions extends HttpClientOptions {
  url: string;
  /** Timeout of one call, in milliseconds; `prepare_map` loads weights and takes long. */
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 30_000;

const refusalReason = (body: unknown): string => {
  const reason = (body as { refused?: unknown } | null)?.refused;
  return typeof reason === 'string' ? reason : 'no reason given';
};

/** Creates a client for the orders of one engine. */
export const createEngineOrderClient = (options: EngineOrderOptions): EngineOrderClient => {
  const http = createHttpClient(options);
  const base = options.url.replace(/\/$/, '');
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  const order: EngineOrderClient['order'] = async (name, body) => {
    const result = await http.send({
      method: 'POST',
      url: `${base}/orders/${name}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      timeoutMs,
    });
    if (!result.ok) return result;
    const { status } = result.value;
    if (!isSuccess(result.value) && status !== 409) return fail(statusFailure(result.value));
    const parsed = parseJson(result.value);
    if (!parsed.ok) return parsed;
    if (status === 409) return ok({ outcome: 'refused', reason: refusalReason(parsed.value) });
    return ok({ outcome: 'done', value: parsed.value });
  };

  const group: EngineOrderClient['group'] = async () => {
    const result = await http.send({ method: 'GET', url: `${base}/group`, timeoutMs });
    if (!result.ok) return result;
    return isSuccess(result.value) ? parseJson(result.value) : fail(statusFailure(result.value));
  };

  return { order, group, close: http.close };
};
