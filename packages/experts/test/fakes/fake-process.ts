import type { Clock } from '@plantaindrum/common';

/**
 * A process that can be frozen, woken and killed; everything that it awaits passes through `gate`.
 */
export interface FakeProcess {
  readonly clock: Clock;
  /** Forwards a result only while the process runs; never after it was killed. */
  gate<T>(result: Promise<T>): Promise<T>;
  /** Runs `fn` now, or when the process is woken, or never if it was killed. */
  whenAwake(fn: () => void): void;
  freeze(): void;
  wake(): void;
  kill(): void;
  isAlive(): boolean;
}

export const createFakeProcess = (clock: Clock): FakeProcess => {
  let state: 'running' | 'frozen' | 'dead' = 'running';
  let waiting: (() => void)[] = [];
  const whenAwake = (fn: () => void): void => {
    if (state === 'running') fn();
    if (state === 'frozen') waiting.push(fn);
  };
  return {
    clock: { ...clock, after: (ms, fn) => clock.after(ms, () => whenAwake(fn)) },
    gate: (result) =>
      new Promise((resolve) => {
        void result.then((value) => whenAwake(() => resolve(value)));
      }),
    whenAwake,
    freeze: () => {
      if (state === 'running') state = 'frozen';
    },
    wake: () => {
      if (state !== 'frozen') return;
      state = 'running';
      const due = waiting;
      waiting = [];
      due.forEach((fn) => fn());
    },
    kill: () => {
      state = 'dead';
      waiting = [];
    },
    isAlive: () => state !== 'dead',
  };
};
