import { startChild } from './child.js';
import type { Child } from './child.js';
import type { StartChild } from './node-processes.js';

/** Child processes that are killed together. */
export interface ChildGroup {
  start: StartChild;
  killAll(): Promise<void>;
}

/** Creates a group without any process. */
export const createChildGroup = (): ChildGroup => {
  const children: Child<unknown>[] = [];
  return {
    start: async (spec) => {
      const child = await startChild<never>(spec);
      children.push(child);
      return child;
    },
    killAll: async () => {
      await Promise.all(children.map((child) => child.kill()));
    },
  };
};
