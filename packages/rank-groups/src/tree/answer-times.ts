/**
 * How long to wait for the answers of many ranks, from how long they took. The pattern: a limit that was
 * right for twelve ranks on a wide link fails for 192 on a narrow one, each time, and what was asked is
 * asked anew for ever. The rule is that of TCP's retransmission timer (RFC 6298): the usual time and
 * four times its usual deviation, doubled while most answers don't come.
 */

/** Limits by what is asked, in ms. */
export interface AnswerTimes {
  /** Limit of the next call of this kind. */
  limit(kind: string): number;
  /** A call whose answers all came after this long. */
  noteWhole(kind: string, ms: number): void;
  /** A call to which most ranks said nothing. */
  noteMostSilent(kind: string): void;
}

/** Bounds of one kind of call, in ms. */
export interface AnswerBounds {
  /** Limit before anything was observed. */
  first: number;
  least: number;
}

/** No answer is waited for longer than this, in ms: three heartbeats, after which a link is lost. */
const MOST_MS = 1_500;
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 4;

/** Creates the record; `bounds` gives each kind's. */
export const createAnswerTimes = (bounds: (kind: string) => AnswerBounds): AnswerTimes => {
  const seen = new Map<string, { mean: number; deviation: number }>();
  const backoff = new Map<string, number>();

  const usual = (kind: string): number => {
    const times = seen.get(kind);
    const { first, least } = bounds(kind);
    return times ? Math.max(least, times.mean + DEVIATIONS * times.deviation) : first;
  };

  return {
    limit: (kind) => Math.min(MOST_MS, usual(kind) * (backoff.get(kind) ?? 1)),
    noteWhole: (kind, ms) => {
      backoff.delete(kind);
      const times = seen.get(kind);
      if (!times) {
        seen.set(kind, { mean: ms, deviation: ms / 2 });
        return;
      }
      times.deviation += (Math.abs(ms - times.mean) - times.deviation) * DEVIATION_WEIGHT;
      times.mean += (ms - times.mean) * MEAN_WEIGHT;
    },
    noteMostSilent: (kind) => {
      backoff.set(kind, Math.min(8, 2 * (backoff.get(kind) ?? 1)));
    },
  };
};
