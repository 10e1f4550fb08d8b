/** Time and timers, injected so that tests can control them. */
export interface Clock {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  now(): number;
  /** Monotonic time in milliseconds; only differences mean anything. */
  monotonic(): number;
  /** Runs `fn` once after `ms` milliseconds; the returned function cancels it. */
  after(ms: number, fn: () => void): () => void;
}

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => Date.now(),
  monotonic: () => performance.now(),
  after: (ms, fn) => {
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  },
};

/** Resolves once `ms` milliseconds have passed on the given clock. */
export const sleep = (clock: Clock, ms: number): Promise<void> =>
  new Promise((resolve) => {
    clock.after(ms, resolve);
  });

/** A clock whose time changes only when `advance` is called. */
export interface ManualClock extends Clock {
  /** Moves time forward, running due timers in order, and lets their promises settle. */
  advance(ms: number): Promise<void>;
}

/** Creates a clock for tests, starting at `start` milliseconds. */
export const createManualClock = (start = 0): ManualClock => {
  let time = start;
  let lastId = 0;
  const timers = new Map<number, { due: number; fn: () => void }>();

  const nextDue = (limit: number): [number, { due: number; fn: () => void }] | undefined => {
    let next: [number, { due: number; fn: () => void }] | undefined;
    timers.forEach((timer, id) => {
      if (timer.due <= limit && (!next || timer.due < next[1].due)) next = [id, timer];
    });
    return next;
  };

  return {
    now: () => time,
    monotonic: () => time,
    after: (ms, fn) => {
      lastId += 1;
      const id = lastId;
      timers.set(id, { due: time + ms, fn });
      return () => timers.delete(id);
    },
    advance: async (ms) => {
      const limit = time + ms;
      for (let next = nextDue(limit); next; next = nextDue(limit)) {
        const [id, timer] = next;
        timers.delete(id);
        time = Math.max(time, timer.due);
        timer.fn();
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
      time = limit;
    },
  };
};
