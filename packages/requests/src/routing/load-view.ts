import type { Clock } from '@plantaindrum/common';
import type { Load } from '@plantaindrum/link';

/** What this entry knows of one upstream's load. */
export interface LoadView {
  dispatched(): void;
  ended(): void;
  fresh(load: Load): void;
  lagged(report: { queued: number; running: number }): void;
  outstanding(): number;
  /** Requests that wait or run there, at least this entry's own. */
  pending(): number;
  /** Requests served a second by the agent's measure; 0 when not known. */
  drainPerSecond(): number;
  latest(): { queued: number; running: number };
}

/** A load that rode on a frame counts as fresh for this long, in milliseconds. */
const FRESH_MS = 3_000;

/** Creates the view; the agent's own figures go before the platform's lagged report. */
export const createLoadView = (clock: Clock): LoadView => {
  let outstanding = 0;
  let sentSince = 0;
  let heard: { load: Load; at: number } | undefined;
  let report: { queued: number; running: number } | undefined;

  const freshLoad = () =>
    heard && clock.monotonic() - heard.at <= FRESH_MS ? heard.load : undefined;

  const latest = () => freshLoad() ?? report ?? { queued: 0, running: 0 };

  return {
    dispatched: () => {
      outstanding += 1;
      sentSince += 1;
    },
    ended: () => {
      outstanding -= 1;
    },
    fresh: (load) => {
      heard = { load, at: clock.monotonic() };
      sentSince = 0;
    },
    lagged: (newer) => {
      report = newer;
    },
    outstanding: () => outstanding,
    pending: () => {
      const { queued, running } = latest();
      // What this entry sent after the figures were made is not in them yet.
      const unseen = freshLoad() ? sentSince : 0;
      return Math.max(outstanding, queued + running + unseen);
    },
    drainPerSecond: () => heard?.load.drainPerSecond ?? 0,
    latest,
  };
};
