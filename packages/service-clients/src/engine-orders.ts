import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { HttpSenderOptions, PlatformFailure } from './http.js';
import { createHttpSender, isSuccess, parseJson, statusFailure } from './http.js';

/** Orders that a model engine takes; see docs/PLATFORM.md. */
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

/** How an engine met an order: carried out, or refused with its reason (`old-fence`, `late`, …). */
export type OrderOutcome =
  { outcome: 'done'; value: unknown } | { outcome: 'refused'; reason: string };

/** Gives orders to one engine, and reads its group state. */
export interface EngineOrderClient {
  /** `unknown`: the order may have been carried out. */
  order(
    name: EngineOrder,
    body: { fence: number } & Record<string, unknown>,
  ): Promise<Result<OrderOutcome, PlatformFailure>>;
  /** The body of `GET /group`, unchecked. */
  group(): Promise<Result<unknown, PlatformFailure>>;
  close(): Promise<void>;
}

/** Address and limits of an engine client. */
export interface EngineOrderOptions extends HttpSenderOptions {
  url: string;
  /** Time for one order; preparing a map loads weights and takes long. */
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 30_000;

const refusalReason = (body: unknown): string => {
  const reason = (body as { refused?: unknown } | null)?.refused;
  return typeof reason === 'string' ? reason : 'no reason given';
};

/** Creates a client for one engine's orders. */
export const createEngineOrderClient = (options: EngineOrderOptions): EngineOrderClient => {
  const http = createHttpSender(options);
  const base = options.url.replace(/\/$/, '');
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  const order: EngineOrderClient['order'] = async (name, body) => {
    const sent = await http.send({
      method: 'POST',
      url: `${base}/orders/${name}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      timeoutMs,
    });
    if (!sent.ok) return sent;
    const { status } = sent.value;
    if (!isSuccess(sent.value) && status !== 409) return fail(statusFailure(sent.value));
    const answer = parseJson(sent.value);
    if (!answer.ok) return answer;
    if (status === 409) return ok({ outcome: 'refused', reason: refusalReason(answer.value) });
    return ok({ outcome: 'done', value: answer.value });
  };

  const group: EngineOrderClient['group'] = async () => {
    const sent = await http.send({ method: 'GET', url: `${base}/group`, timeoutMs });
    if (!sent.ok) return sent;
    return isSuccess(sent.value) ? parseJson(sent.value) : fail(statusFailure(sent.value));
  };

  return { order, group, close: http.close };
};
