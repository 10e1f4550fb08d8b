import { isObject } from '@plantaindrum/common';

/** Slowdown of an engine, as reported by the agent beside it. */
export interface EngineSlowdown {
  /** Address under which entries know the engine. */
  host: string;
  port: number;
  /** Start of the engine that the report is about; after a later start it is a different engine. */
  startedAt: number;
  /** Time of the engine's own work relative to its baseline; 1 is normal. */
  pace: number;
}

/** Reads a slowdown report; undefined when the value isn't one. */
export const readEngineSlowdown = (value: unknown): EngineSlowdown | undefined => {
  if (!isObject(value)) return undefined;
  const { host, port, startedAt, pace } = value;
  if (typeof host !== 'string' || typeof port !== 'number') return undefined;
  if (typeof startedAt !== 'number' || typeof pace !== 'number') return undefined;
  return { host, port, startedAt, pace };
};
