import type { ServerResponse } from 'node:http';

/** Calls the listener once if the caller's connection closes before the response has been sent completely. */
export const onCallerDisconnected = (res: ServerResponse, listener: () => void): void => {
  if (res.destroyed) {
    listener();
    return;
  }
  res.once('close', () => {
    if (!res.writableFinished) listener();
  });
};
