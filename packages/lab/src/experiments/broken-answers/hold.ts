/** Holds processes up for some milliseconds at a time, like an event loop that is busy. */

/** How long processes are held, and left free in between, in ms. */
export interface HoldTimes {
  heldMs: number;
  freeMs: number;
}

/** Holds the processes again and again; the returned function lets them go for good. */
export const holdProcesses = (
  pids: readonly number[],
  { heldMs, freeMs }: HoldTimes,
): (() => void) => {
  let timer: NodeJS.Timeout | undefined;
  const signal = (name: NodeJS.Signals): void => pids.forEach((pid) => process.kill(pid, name));
  const hold = (): void => {
    signal('SIGSTOP');
    timer = setTimeout(() => {
      signal('SIGCONT');
      timer = setTimeout(hold, freeMs);
    }, heldMs);
  };
  hold();
  return () => {
    clearTimeout(timer);
    signal('SIGCONT');
  };
};
