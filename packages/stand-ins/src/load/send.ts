/** Sends one call of a plan and reads its response to the end. */
import type { Clock } from '@plantaindrum/common';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { Verdict } from './answer-check.js';
import {
  checkCompletion,
  checkService,
  createStreamCheck,
  refusalVerdict,
} from './answer-check.js';
import type { Arrival } from './plan.js';

/** Result of one call. */
export interface CallResult extends Verdict {
  arrival: Arrival;
  /** Time to the first token of a stream, or to the end of any other response. */
  firstUs: number;
  /** Time to the end of the response. */
  wholeUs: number;
  /** Times between the tokens of a stream. */
  gapsUs: number[];
  /** Whether this is a refusal without a valid Retry-After. */
  lacksRetryAfter: boolean;
}

/** Sends a call to the entry at `target`. */
export type Sender = (target: string, arrival: Arrival) => Promise<CallResult>;

/** Path of a service call; unique for each key, so that executions can be counted. */
export const servicePath = (arrival: Arrival): string =>
  arrival.stream.work.kind === 'service' ? `${arrival.stream.work.path}/${arrival.key}` : '';

const bodyOf = ({ stream, prompt, maxTokens, key }: Arrival): string => {
  const { work } = stream;
  if (work.kind === 'service') return JSON.stringify({ call: key });
  return JSON.stringify({
    model: work.model,
    prompt,
    max_tokens: maxTokens,
    stream: work.stream,
  });
};

const idempotencyKey = ({ stream, key }: Arrival): string | undefined =>
  stream.work.kind === 'service' && stream.work.keyed ? key : undefined;

const headersOf = (arrival: Arrival): Record<string, string> => {
  const key = idempotencyKey(arrival);
  return {
    authorization: `Bearer ${arrival.stream.apiKey}`,
    'content-type': 'application/json',
    'x-plantaindrum-class': arrival.stream.class,
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  };
};

const codeOf = (err: unknown): string => {
  const { code, cause } = err as { code?: string; cause?: { code?: string } };
  return code ?? cause?.code ?? 'error';
};

const isRefusal = ({ outcome }: Verdict): boolean => outcome === 'not-run' || outcome === 'unknown';

/** Creates a sender; `timeoutMs` limits the time to the headers and between chunks of a body. */
export const createSender = (
  clock: Clock,
  timeoutMs: number,
): { send: Sender; close(): Promise<void> } => {
  const dispatcher = new Agent({
    connections: null,
    pipelining: 1,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  const elapsedUs = (since: number): number => (clock.monotonic() - since) * 1000;

  const readStream = async (
    res: Dispatcher.ResponseData,
    arrival: Arrival,
    startedAt: number,
  ): Promise<Verdict & { firstUs: number; gapsUs: number[] }> => {
    const check = createStreamCheck(arrival.prompt, arrival.maxTokens);
    const decoder = new TextDecoder();
    const tokenTimesUs: number[] = [];
    let clean = true;
    try {
      for await (const chunk of res.body) {
        const tokens = check.feed(decoder.decode(chunk as Buffer, { stream: true }));
        for (let n = 0; n < tokens; n += 1) tokenTimesUs.push(elapsedUs(startedAt));
      }
    } catch {
      clean = false;
    }
    const gapsUs = tokenTimesUs.slice(1).map((time, at) => time - (tokenTimesUs[at] ?? 0));
    return { ...check.end(clean), firstUs: tokenTimesUs[0] ?? elapsedUs(startedAt), gapsUs };
  };

  const checkFullResponse = (text: string, arrival: Arrival): Verdict =>
    arrival.stream.work.kind === 'service'
      ? checkService(text, servicePath(arrival), idempotencyKey(arrival), bodyOf(arrival))
      : checkCompletion(text, arrival.prompt, arrival.maxTokens);

  const read = async (
    res: Dispatcher.ResponseData,
    arrival: Arrival,
    startedAt: number,
  ): Promise<Omit<CallResult, 'arrival' | 'wholeUs'>> => {
    const { work } = arrival.stream;
    if (res.statusCode === 200 && work.kind === 'completion' && work.stream) {
      return { ...(await readStream(res, arrival, startedAt)), lacksRetryAfter: false };
    }
    const text = await res.body.text();
    const verdict =
      res.statusCode === 200
        ? checkFullResponse(text, arrival)
        : refusalVerdict(text, res.statusCode);
    const retryAfter = Number(res.headers['retry-after'] ?? 0);
    const lacksRetryAfter = isRefusal(verdict) && !(retryAfter >= 1);
    return { ...verdict, firstUs: elapsedUs(startedAt), gapsUs: [], lacksRetryAfter };
  };

  const send: Sender = async (target, arrival) => {
    const startedAt = clock.monotonic();
    const { work } = arrival.stream;
    const path = work.kind === 'service' ? servicePath(arrival) : '/v1/completions';
    try {
      const res = await request(target + path, {
        method: 'POST',
        headers: headersOf(arrival),
        body: bodyOf(arrival),
        dispatcher,
      });
      const result = await read(res, arrival, startedAt);
      return { ...result, arrival, wholeUs: elapsedUs(startedAt) };
    } catch (err) {
      return {
        outcome: 'lost',
        reason: codeOf(err),
        arrival,
        firstUs: elapsedUs(startedAt),
        wholeUs: elapsedUs(startedAt),
        gapsUs: [],
        lacksRetryAfter: false,
      };
    }
  };

  return { send, close: () => dispatcher.destroy() };
};
