import type { ManualClock } from '@plantaindrum/common';
import { request } from 'undici';

/** An HTTP response with its full body. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
  json: any;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Sends a request; a lost connection yields status 0. */
export const call = async (
  url: string,
  options: {
    method?: 'GET' | 'POST' | 'PUT';
    body?: unknown;
    headers?: Record<string, string>;
  } = {},
): Promise<HttpResponse> => {
  const { body, headers, method = body === undefined ? 'GET' : 'POST' } = options;
  try {
    const res = await request(url, {
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
      reset: true,
    });
    const text = await res.body.text();
    return { status: res.statusCode, headers: res.headers, text, json: parseJson(text) };
  } catch {
    return { status: 0, headers: {}, text: '', json: undefined };
  }
};

/** Advances the clock in steps of `ms` until the promise settles, letting I/O run in between. */
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
