import { isObject } from '@plantaindrum/common';

/** How slow an engine is, as the agent beside it tells. */
export interface EnginePace {
  /** Address at which entries know the engine. */
  host: string;
  port: number;
  /** The start of the engine that was slow; a later one is another engine. */
  startedAt: number;
  /** Time of its own work over the usual. */
  pace: number;
}

/** Reads a pace; undefined when it isn't one. */
export const readEnginePace = (value: unknown): EnginePace | undefined => {
  if (!isObject(value)) return undefined;
  const { host, port, startedAt, pace } = value;
  if (typeof host !== 'string' || typeof port !== 'number') return undefined;
  if (typeof startedAt !== 'number' || typeof pace !== 'number') return undefined;
  return { host, port, startedAt, pace };
};
