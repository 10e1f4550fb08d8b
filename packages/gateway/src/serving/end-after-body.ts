import type { ServerResponse } from 'node:http';
import { createBodyReader } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';

/** Longest time for which the rest of a caller's body is read and discarded, in ms. */
const DISCARD_TIMEOUT_MS = 1_000;

/**
 * Sends a response's body at once, and ends the response when the caller's request has been read: a connection that is
 * closed before is reset, and the caller may lose the response.
 */
export const endAfterBody = (res: ServerResponse, body: string, clock: Clock): void => {
  const { req } = res;
  if (req.complete) {
    res.end(body);
    return;
  }
  res.write(body);
  const end = (): void => {
    res.end();
  };
  const stopTimer = clock.after(DISCARD_TIMEOUT_MS, end);
  req.once('end', end);
  res.once('close', stopTimer);
  createBodyReader(req, clock).close();
};
