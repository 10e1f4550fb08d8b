import type { Clock } from '@plantaindrum/common';
import type { Load } from '@plantaindrum/link';

/** Load of one upstream as this entry knows it. */
export interface LoadView {
  recordDispatch(): void;
  recordEnd(): void;
  /** Records the load that a frame from the agent carried. */
  recordLoad(load: Load): void;
  /** Records the platform's report, which is older; used without a fresh load only. */
  recordLaggedReport(report: { queued: number; running: number }): void;
  /** Requests of this entry that have not ended. */
  outstanding(): number;
  /** Requests that wait or run at the upstream; never less than `outstanding`. */
  pending(): number;
  /** Requests per second as measured by the agent; 0 while unknown. */
  drainPerSecond(): number;
  /** Latest known queue length and number of running requests. */
  latest(): { queued: number; running: number };
}

/** A load received on a frame is used for this long, in milliseconds. */
const FRESH_LOAD_MS = 3_000;

/** Creates the view. The load that the agent sends takes precedence over the platform's report. */
export const createLoadView = (clock: Clock): LoadView => {
  let outstanding = 0;
  let sentSinceReceived = 0;
  let received: { load: Load; receivedAt: number } | undefined;
  let report: { queued: number; running: number } | undefined;

  const freshLoad = () =>
    received && clock.monotonic() - received.receivedAt <= FRESH_LOAD_MS
      ? received.load
      : undefined;

  const latest = () => freshLoad() ?? report ?? { queued: 0, running: 0 };

  return {
    recordDispatch: () => {
      outstanding += 1;
      sentSinceReceived += 1;
    },
    recordEnd: () => {
      outstanding -= 1;
    },
    recordLoad: (load) => {
      received = { load, receivedAt: clock.monotonic() };
      sentSinceReceived = 0;
    },
    recordLaggedReport: (newReport) => {
      report = newReport;
    },
    outstanding: () => outstanding,
    pending: () => {
      const { queued, running } = latest();
      // The received load doesn't yet include what this entry sent afterwards.
      const notYetReported = freshLoad() ? sentSinceReceived : 0;
      return Math.max(outstanding, queued + running + notYetReported);
    },
    drainPerSecond: () => received?.load.drainPerSecond ?? 0,
    latest,
  };
};
