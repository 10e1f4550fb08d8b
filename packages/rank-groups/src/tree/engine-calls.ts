/** Calls to the engines of ranks whose agents can't be reached. */

import { forEachConcurrent } from '@plantaindrum/common';
import type { RankEngine } from '../types.js';

/** Calls engines of ranks directly; the result holds the ranks that answered. */
export type CallEngines = <Answer extends object | string>(
  ranks: readonly number[],
  call: (engine: RankEngine) => Promise<Answer | undefined>,
) => Promise<Map<number, Answer>>;

/**
 * Number of engines that are called directly at the same time, as each call carries a full map or
 * report.
 */
const MAX_CONCURRENT_ENGINE_CALLS = 8;

/** Creates the calls; `findEngine` returns undefined for an engine that isn't known. */
export const createEngineCalls =
  (findEngine: (rank: number) => Promise<RankEngine | undefined>): CallEngines =>
  async <Answer extends object | string>(
    ranks: readonly number[],
    call: (engine: RankEngine) => Promise<Answer | undefined>,
  ) => {
    const answers = new Map<number, Answer>();
    await forEachConcurrent(ranks, MAX_CONCURRENT_ENGINE_CALLS, async (rank) => {
      const engine = await findEngine(rank);
      const answer = engine && (await call(engine));
      if (answer !== undefined) answers.set(rank, answer);
    });
    return answers;
  };
