import type { ServerResponse } from 'node:http';

/** Calls back once when the caller's connection ends before its answer is whole. */
export const onCallerGone = (res: ServerResponse, gone: () => void): void => {
  if (res.destroyed) {
    gone();
    return;
  }
  res.once('close', () => {
    if (!res.writableFinished) gone();
  });
};
