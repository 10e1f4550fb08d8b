/** The outcome of an attempt, and the reading of responses that are buffered as a whole. */

import type { IncomingMessage } from 'node:http';
import { createBodyCheck, hasFraming } from '@plantaindrum/exchange';
import type { Attempt, AttemptResponse } from './attempt.js';
import type { FullResponse } from './request-completion.js';
import { endToEnd } from './response-headers.js';

/** How one attempt ended. */
export type AttemptOutcome =
  | FullResponse
  /** The full stream has been forwarded. */
  | { outcome: 'streamed' }
  | { outcome: 'not-run'; why: string; wasSent: boolean; hasRoom?: boolean }
  | { outcome: 'unknown'; why: string };

/** Handles the response of one attempt once its head has been received. */
export type HandleResponse = (
  attempt: Attempt,
  response: AttemptResponse,
) => Promise<AttemptOutcome>;

/** Largest response that is buffered, in bytes. */
const MAX_RESPONSE_BYTES = 8_388_608;
const isCutOff = (res: IncomingMessage, body: Uint8Array): boolean => {
  const check = createBodyCheck(res.headers['content-type'] ?? '', false);
  check.push(body);
  return check.isCut();
};

/** Buffers a response that is not a stream. */
export const readFullResponse: HandleResponse = async (attempt, response) => {
  const body = await attempt.readBody(MAX_RESPONSE_BYTES);
  if (body === undefined) return { outcome: 'unknown', why: 'answer-broke-off' };
  const isFramed = hasFraming(response.res);
  if (!isFramed && isCutOff(response.res, body)) return { outcome: 'unknown', why: 'answer-cut' };
  if (!(await attempt.isProvedComplete(response.res))) {
    return { outcome: 'unknown', why: 'upstream-ended' };
  }
  return {
    outcome: 'whole',
    status: response.status,
    headers: endToEnd(response.res),
    body,
  };
};
