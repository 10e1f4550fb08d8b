/** Sends one call of a plan and reads its answer to the end. */
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

/** What came of one call. */
export interface CallResult extends Verdict {
  arrival: Arrival;
  /** To the first token of a stream or the whole of another answer; for refusals to their end. */
  firstUs: number;
  wholeUs: number;
  /** Gaps between the tokens of a stream. */
  gapsUs: number[];
  /** A refusal carried no usable Retry-After. */
  lacksRetryAfter: boolean;
}

/** Sends a call to the entry at `target`. */
export type Sender = (target: string, arrival: Arrival) => Promise<CallResult>;

/** Path that a service call goes to: its own for each key, so that executions can be counted. */
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

/** Creates a sender; a call without an answer for `timeoutMs` counts as lost. */
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
  const us = (since: number): number => (clock.monotonic() - since) * 1000;

  const readStream = async (
    res: Dispatcher.ResponseData,
    arrival: Arrival,
    begun: number,
  ): Promise<Verdict & { firstUs: number; gapsUs: number[] }> => {
    const check = createStreamCheck(arrival.prompt, arrival.maxTokens);
    const decoder = new TextDecoder();
    const times: number[] = [];
    let clean = true;
    try {
      for await (const chunk of res.body) {
        const tokens = check.feed(decoder.decode(chunk as Buffer, { stream: true }));
        for (let n = 0; n < tokens; n += 1) times.push(us(begun));
      }
    } catch {
      clean = false;
    }
    const gapsUs = times.slice(1).map((time, at) => time - (times[at] ?? 0));
    return { ...check.end(clean), firstUs: times[0] ?? us(begun), gapsUs };
  };

  const checkWhole = (text: string, arrival: Arrival): Verdict =>
    arrival.stream.work.kind === 'service'
      ? checkService(text, servicePath(arrival), idempotencyKey(arrival), bodyOf(arrival))
      : checkCompletion(text, arrival.prompt, arrival.maxTokens);

  const read = async (
    res: Dispatcher.ResponseData,
    arrival: Arrival,
    begun: number,
  ): Promise<Omit<CallResult, 'arrival' | 'wholeUs'>> => {
    const { work } = arrival.stream;
    if (res.statusCode === 200 && work.kind === 'completion' && work.stream) {
      return { ...(await readStream(res, arrival, begun)), lacksRetryAfter: false };
    }
    const text = await res.body.text();
    const verdict =
      res.statusCode === 200 ? checkWhole(text, arrival) : refusalVerdict(text, res.statusCode);
    const retryAfter = Number(res.headers['retry-after'] ?? 0);
    const lacksRetryAfter = isRefusal(verdict) && !(retryAfter >= 1);
    return { ...verdict, firstUs: us(begun), gapsUs: [], lacksRetryAfter };
  };

  const send: Sender = async (target, arrival) => {
    const begun = clock.monotonic();
    const { work } = arrival.stream;
    const path = work.kind === 'service' ? servicePath(arrival) : '/v1/completions';
    try {
      const res = await request(target + path, {
        method: 'POST',
        headers: headersOf(arrival),
        body: bodyOf(arrival),
        dispatcher,
      });
      const result = await read(res, arrival, begun);
      return { ...result, arrival, wholeUs: us(begun) };
    } catch (err) {
      return {
        outcome: 'lost',
        reason: codeOf(err),
        arrival,
        firstUs: us(begun),
        wholeUs: us(begun),
        gapsUs: [],
        lacksRetryAfter: false,
      };
    }
  };

  return { send, close: () => dispatcher.destroy() };
};
