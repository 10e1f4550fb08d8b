/**
 * Continuous batching: the wait queue, the running generations, and their progress in each step.
 */
import type { PrefixCache } from './prefix-cache.js';
import { BLOCK_CHARACTERS, promptTokens } from './text.js';

const TOKENS_PER_BLOCK = BLOCK_CHARACTERS / 4;

/** One generation, as requested by the HTTP handler. */
export interface Generation {
  prompt: string;
  maxTokens: number;
  /** Lower values are admitted first, as in vLLM. */
  priority: number;
  /** Offset of the first token to generate. */
  from: number;
  /** Called with each token's offset, in order. */
  onToken(offset: number): void;
  /** Called once after the last token. */
  onEnd(): void;
}

interface Running {
  generation: Generation;
  remainingPrefillTokens: number;
  nextToken: number;
}

/** The batch of one engine. */
export interface Batch {
  /** Queues a generation; the returned function cancels it. */
  add(generation: Generation): () => void;
  /** Admits waiting generations and produces one token for each one whose prefill is complete. */
  step(): void;
  /** Returns the number of tokens that the running generations compute in the next step. */
  tokens(): number;
  counts(): { running: number; waiting: number };
  /** Drops all generations, as a crash does. */
  clear(): void;
}

/** Options of `createBatch`. */
export interface BatchOptions {
  cache: PrefixCache;
  maxRunning: number;
  /** Prompt tokens that one step computes for one generation. */
  prefillTokensPerStep: number;
  onChange(): void;
}

/** Creates an empty batch. */
export const createBatch = (options: BatchOptions): Batch => {
  const { cache, maxRunning, prefillTokensPerStep, onChange } = options;
  let waiting: Generation[] = [];
  let running: Running[] = [];

  const admit = (): void => {
    while (running.length < maxRunning && waiting.length > 0) {
      const generation = waiting.shift();
      if (!generation) return;
      const cached = cache.use(generation.prompt) * TOKENS_PER_BLOCK;
      const remainingPrefillTokens = Math.max(0, promptTokens(generation.prompt) - cached);
      running.push({ generation, remainingPrefillTokens, nextToken: generation.from });
    }
  };

  const advanceGeneration = (entry: Running): boolean => {
    const { generation } = entry;
    if (entry.remainingPrefillTokens > prefillTokensPerStep) {
      entry.remainingPrefillTokens -= prefillTokensPerStep; // eslint-disable-line no-param-reassign
      return true;
    }
    entry.remainingPrefillTokens = 0; // eslint-disable-line no-param-reassign
    if (entry.nextToken < generation.maxTokens) generation.onToken(entry.nextToken);
    entry.nextToken += 1; // eslint-disable-line no-param-reassign
    if (entry.nextToken < generation.maxTokens) return true;
    generation.onEnd();
    return false;
  };

  return {
    add: (generation) => {
      const insertAt = waiting.findIndex((other) => other.priority > generation.priority);
      waiting.splice(insertAt < 0 ? waiting.length : insertAt, 0, generation);
      onChange();
      return () => {
        waiting = waiting.filter((other) => other !== generation);
        running = running.filter((entry) => entry.generation !== generation);
        onChange();
      };
    },
    step: () => {
      if (waiting.length === 0 && running.length === 0) return;
      admit();
      const current = running;
      const unfinished = new Set(current.filter(advanceGeneration));
      running = running.filter((entry) => unfinished.has(entry));
      onChange();
    },
    tokens: () =>
      running.reduce(
        (sum, entry) =>
          sum + Math.max(1, Math.min(entry.remainingPrefillTokens, prefillTokensPerStep)),
        0,
      ),
    counts: () => ({ running: running.length, waiting: waiting.length }),
    clear: () => {
      waiting = [];
      running = [];
      onChange();
    },
  };
};
