import type { Clock, EventLog } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';

/** Keeps the platform's record of requests in quarantine as this entry knows them. */
export interface RecordWriter {
  /** Writes what is known of a request now, until that has worked. */
  write(fingerprint: string): void;
  close(): void;
}

/** Options of `createRecordWriter`. */
export interface RecordWriterOptions {
  /** Writes a value under a key, or drops the key; false when not known to have worked. */
  publish: (key: string, value: Uint8Array | undefined) => Promise<boolean>;
  /** The record of a request; undefined when it is in no quarantine, and its key is dropped. */
  recordOf: (fingerprint: string) => Uint8Array | undefined;
  clock: Clock;
  log: EventLog;
}

/** Pause between two tries, in ms. */
const AGAIN_MS = 1_000;
/** Requests that wait to be written: a bound on calls to the platform. */
const MOST_WAITING = 64;

/** Creates the writer: one call at a time. */
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
      if (await publish(fingerprint, recordOf(fingerprint))) waiting.delete(fingerprint);
      else {
        log.event('quarantine-record-failed', { fingerprint, waiting: waiting.size });
        await pause.wait(AGAIN_MS);
      }
    }
    isWriting = false;
  };

  return {
    write: (fingerprint) => {
      if (waiting.size >= MOST_WAITING) return;
      waiting.add(fingerprint);
      void writeAll();
    },
    close: () => {
      isClosed = true;
      pause.end();
    },
  };
};
