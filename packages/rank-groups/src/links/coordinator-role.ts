/**
 * Tells whether this agent coordinates. Waiting for that is driven by link changes, so that agents
 * that don't coordinate arm no timers.
 */

/** Whether this agent has the lowest linked rank of its group, and so coordinates it. */
export interface CoordinatorRole {
  isLowest(): boolean;
  /** Resolves once this agent is the lowest; immediately if it already is. */
  whenLowest(): Promise<void>;
  /** Re-evaluates the role after links or ranks have changed. */
  handleChange(): void;
}

/** Creates the role; `isLowest` evaluates the current links. */
export const createCoordinatorRole = (isLowest: () => boolean): CoordinatorRole => {
  let waiting: (() => void)[] = [];

  return {
    isLowest,
    whenLowest: () =>
      isLowest()
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiting.push(resolve);
          }),
    handleChange: () => {
      if (waiting.length === 0 || !isLowest()) return;
      const resolvers = waiting;
      waiting = [];
      resolvers.forEach((resume) => resume());
    },
  };
};
