import type { Clock, ManualClock } from '@plantaindrum/common';

/** How a VM stands still: suspended, its steady clock stands still too; frozen, it goes on. */
export type Standstill = 'suspended' | 'frozen';

/** The clock of one simulated VM, which may stand still. */
export interface PausableClock extends Clock {
  /** Stops all timers until `resume`. */
  pause(standstill: Standstill): void;
  resume(): void;
  isPaused(): boolean;
  /** Resolves at once, or when the VM resumes: what reaches it meanwhile is read then. */
  awake(): Promise<void>;
}

interface Timer {
  /** Due time on the clock of the VM, in ms. */
  due: number;
  fn: () => void;
  cancel: () => void;
}

/** Creates the clock of a VM that runs. */
export const createPausableClock = (base: ManualClock): PausableClock => {
  const timers = new Set<Timer>();
  const sleepers: (() => void)[] = [];
  let standstill: Standstill | undefined;
  let pausedAt = 0;
  /** Time that the VM was suspended in all, in ms. */
  let suspendedMs = 0;

  const monotonic = (): number =>
    (standstill === 'suspended' ? pausedAt : base.monotonic()) - suspendedMs;

  const schedule = (timer: Timer): void => {
    const cancel = base.after(Math.max(0, timer.due - monotonic()), () => {
      timers.delete(timer);
      timer.fn();
    });
    Object.assign(timer, { cancel });
  };

  return {
    now: base.now,
    monotonic,
    after: (ms, fn) => {
      const timer: Timer = { due: monotonic() + ms, fn, cancel: () => {} };
      timers.add(timer);
      if (standstill === undefined) schedule(timer);
      return () => {
        timers.delete(timer);
        timer.cancel();
      };
    },
    pause: (next) => {
      if (standstill !== undefined) return;
      standstill = next;
      pausedAt = base.monotonic();
      timers.forEach(({ cancel }) => cancel());
    },
    resume: () => {
      if (standstill === undefined) return;
      if (standstill === 'suspended') suspendedMs += base.monotonic() - pausedAt;
      standstill = undefined;
      [...timers].forEach(schedule);
      sleepers.splice(0).forEach((wake) => wake());
    },
    isPaused: () => standstill !== undefined,
    awake: () =>
      standstill === undefined
        ? Promise.resolve()
        : new Promise((resolve) => {
            sleepers.push(resolve);
          }),
  };
};
