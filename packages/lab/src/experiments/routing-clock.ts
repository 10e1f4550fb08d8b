import type { Clock } from '@plantaindrum/common';

/** Virtual time: events run in order of their due time, without waiting. */
export interface VirtualClock extends Clock {
  /** Runs all events that are due up to `until`, in milliseconds. */
  run(until: number): void;
}

interface Timer {
  due: number;
  serial: number;
  fn: () => void;
}

const isBefore = (a: Timer, b: Timer): boolean =>
  a.due === b.due ? a.serial < b.serial : a.due < b.due;

/** A binary heap of timers, earliest first. */
const createTimerHeap = () => {
  const heap: Timer[] = [];

  const swap = (a: number, b: number) => {
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  };

  const rise = (from: number) => {
    for (let at = from; at > 0;) {
      const parent = Math.floor((at - 1) / 2);
      if (!isBefore(heap[at]!, heap[parent]!)) return;
      swap(at, parent);
      at = parent;
    }
  };

  const sink = () => {
    for (let at = 0; ;) {
      const children = [2 * at + 1, 2 * at + 2].filter((child) => child < heap.length);
      const [first, second] = children;
      if (first === undefined) return;
      const least = second !== undefined && isBefore(heap[second]!, heap[first]!) ? second : first;
      if (!isBefore(heap[least]!, heap[at]!)) return;
      swap(at, least);
      at = least;
    }
  };

  return {
    push: (timer: Timer) => {
      heap.push(timer);
      rise(heap.length - 1);
    },
    first: () => heap[0],
    pop: () => {
      const top = heap[0];
      const last = heap.pop();
      if (last && heap.length > 0) {
        heap[0] = last;
        sink();
      }
      return top;
    },
  };
};

/** Creates a virtual clock that starts at 0. */
export const createVirtualClock = (): VirtualClock => {
  const timers = createTimerHeap();
  let time = 0;
  let serial = 0;
  return {
    now: () => time,
    monotonic: () => time,
    after: (ms, fn) => {
      serial += 1;
      const timer = { due: time + ms, serial, fn };
      timers.push(timer);
      return () => {
        timer.fn = () => {};
      };
    },
    run: (until) => {
      for (let next = timers.first(); next && next.due <= until; next = timers.first()) {
        timers.pop();
        time = next.due;
        next.fn();
      }
      time = until;
    },
  };
};

/** Runs `fn` every `ms` milliseconds of a clock. */
export const every = (clock: Clock, ms: number, fn: () => void): void => {
  const tick = () => {
    fn();
    clock.after(ms, tick);
  };
  clock.after(ms, tick);
};
