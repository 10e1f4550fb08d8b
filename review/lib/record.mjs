// The record of a run: one line for each thing that was sent, answered or run.

import { createWriteStream } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Opens `record.txt`; times are milliseconds of the steady clock since the start of the record. */
export const openRecord = (path) => {
  const file = createWriteStream(path);
  const startedAt = performance.now();
  return {
    at: (time) => Math.round((time - startedAt) * 10) / 10,
    write: (what, fields = {}, time = performance.now()) => {
      const at = Math.round((time - startedAt) * 10) / 10;
      file.write(`${JSON.stringify({ at, what, ...fields })}\n`);
    },
    close: () =>
      new Promise((resolve) => {
        file.end(resolve);
      }),
  };
};
