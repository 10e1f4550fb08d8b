/** Wakes those that wait to coordinate by the change of a link, so that agents that don't stay asleep. */

/** Whether this agent is the lowest of its group. */
export interface Lead {
  isLowest(): boolean;
  /** Resolves once this agent is the lowest; at once while it is. */
  untilLowest(): Promise<void>;
  /** Looks again after links or ranks have changed. */
  noteChange(): void;
}

/** Creates the view over what the links show now. */
export const createLead = (isLowest: () => boolean): Lead => {
  let waiting: (() => void)[] = [];

  return {
    isLowest,
    untilLowest: () =>
      isLowest()
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiting.push(resolve);
          }),
    noteChange: () => {
      if (waiting.length === 0 || !isLowest()) return;
      const woken = waiting;
      waiting = [];
      woken.forEach((resume) => resume());
    },
  };
};
