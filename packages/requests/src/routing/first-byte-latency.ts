import type { Clock } from '@plantaindrum/common';
import type { DispatchedRequest } from './types.js';

/** Time to first byte of one upstream, measured from the start of a request at the engine. */
export interface FirstByteLatency {
  /** Starts tracking one request; `onEnded` is called once. */
  track(onEnded: () => void): DispatchedRequest;
  /** Moving average of the time to first byte, in milliseconds; undefined with too few samples. */
  smoothedMs(): number | undefined;
  /** How long the oldest started request has waited for its first byte, in milliseconds. */
  oldestWaitMs(): number;
  /** Consecutive failed requests since the last first byte. */
  consecutiveFailures(): number;
  /** Discards all samples; called when the upstream is ejected. */
  reset(): void;
}

/** Weight of the latest sample in the moving average. */
const SMOOTHING = 0.2;
/** The average is unknown below this number of samples. */
const MIN_SAMPLES = 5;

/**
 * Creates the latency record of one upstream. The time in the agent's queue is not counted: it
 * depends on the class, is already part of the reported load, and would make a busy upstream look
 * faulty.
 */
export const createFirstByteLatency = (clock: Clock): FirstByteLatency => {
  const awaiting = new Set<{ startedAt: number }>();
  let currentMs = 0;
  let samples = 0;
  let failures = 0;

  const addSample = (ms: number) => {
    samples += 1;
    currentMs = samples === 1 ? ms : currentMs + SMOOTHING * (ms - currentMs);
  };

  return {
    track: (onEnded) => {
      let request: { startedAt: number } | undefined;
      let ended = false;
      return {
        started: () => {
          if (request || ended) return;
          request = { startedAt: clock.monotonic() };
          awaiting.add(request);
        },
        firstByte: () => {
          failures = 0;
          if (request && awaiting.delete(request)) addSample(clock.monotonic() - request.startedAt);
        },
        failed: () => {
          failures += 1;
        },
        ended: () => {
          if (ended) return;
          ended = true;
          if (request) awaiting.delete(request);
          onEnded();
        },
      };
    },
    smoothedMs: () => (samples >= MIN_SAMPLES ? currentMs : undefined),
    oldestWaitMs: () => {
      const [oldest] = awaiting;
      return oldest ? clock.monotonic() - oldest.startedAt : 0;
    },
    consecutiveFailures: () => failures,
    reset: () => {
      failures = 0;
      samples = 0;
      awaiting.clear();
    },
  };
};
