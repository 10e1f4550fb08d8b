import type { Clock, EventLog } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';

/** Writes the quarantine records of this entry to the platform. */
export interface RecordWriter {
  /** Writes the current record of a request, and retries until that succeeds. */
  write(fingerprint: string): void;
  close(): void;
}

/** Options of `createRecordWriter`. */
export interface RecordWriterOptions {
  /** Writes a value under a key, or deletes the key without one; false unless known to have succeeded. */
  publish: (key: string, value: Uint8Array | undefined) => Promise<boolean>;
  /** Returns a request's record; undefined when it isn't quarantined, in which case its key is deleted. */
  recordOf: (fingerprint: string) => Uint8Array | undefined;
  clock: Clock;
  log: EventLog;
}

/** Delay before a failed write is retried, in ms. */
const RETRY_DELAY_MS = 1_000;
/** Max requests waiting to be written: bounds the calls to the platform. */
const MAX_WAITING = 64;

/** Creates the writer, which makes one call at a time. */
export const createRecordWriter = (options: RecordWriterOptions): RecordWriter => {
  const { publish, recordOf, clock, log } = options;
  const waiting = new Set<string>();
  const pause = createPause(clock);
  let isWriting = false;
  let isClosed = false;

  const writeAll = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    while (waiting.size > 0 && !isClosed) {
      const [fingerprint = ''] = waiting;
      // Removed first: a record that changes during the write is written again.
      waiting.delete(fingerprint);
      if (!(await publish(fingerprint, recordOf(fingerprint)))) {
        waiting.add(fingerprint);
        log.event('quarantine-record-failed', { fingerprint, waiting: waiting.size });
        await pause.wait(RETRY_DELAY_MS);
      }
    }
    isWriting = false;
  };

  return {
    write: (fingerprint) => {
      if (waiting.size >= MAX_WAITING) return;
      waiting.add(fingerprint);
      void writeAll();
    },
    close: () => {
      isClosed = true;
      pause.end();
    },
  };
};
