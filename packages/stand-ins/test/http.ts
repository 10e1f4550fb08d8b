import type { ManualClock } from '@plantaindrum/common';
import { request } from 'undici';

/** One answer, read whole. */
export interface Answer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
  json: any;
}

const parsed = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Calls an address; a lost connection gives status 0. */
export const call = async (
  url: string,
  options: {
    method?: 'GET' | 'POST' | 'PUT';
    body?: unknown;
    headers?: Record<string, string>;
  } = {},
): Promise<Answer> => {
  const { body, headers, method = body === undefined ? 'GET' : 'POST' } = options;
  try {
    const res = await request(url, {
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
      reset: true,
    });
    const text = await res.body.text();
    return { status: res.statusCode, headers: res.headers, text, json: parsed(text) };
  } catch {
    return { status: 0, headers: {}, text: '', json: undefined };
  }
};

/** Moves the clock in steps of `ms`, with room for I/O between, until the promise has settled. */
export const advanceUntil = async (
  clock: ManualClock,
  ms: number,
  promise: Promise<unknown>,
): Promise<void> => {
  let settled = false;
  const settle = (): void => {
    settled = true;
  };
  void promise.then(settle, settle);
  while (!settled) {
    await clock.advance(ms);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};
