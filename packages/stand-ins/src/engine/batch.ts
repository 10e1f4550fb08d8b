/** Continuous batching: who waits, who runs, and what one step does for each. */
import type { PrefixCache } from './prefix-cache.js';
import { BLOCK_CHARACTERS, promptTokens } from './text.js';

const TOKENS_PER_BLOCK = BLOCK_CHARACTERS / 4;

/** One generation, as the engine's HTTP side sees it. */
export interface Generation {
  prompt: string;
  maxTokens: number;
  /** Lower goes first, as vLLM has it. */
  priority: number;
  /** The first token to generate. */
  from: number;
  /** Called with each token's offset, in order. */
  onToken(offset: number): void;
  /** Called once after the last token. */
  onEnd(): void;
}

interface Running {
  generation: Generation;
  prefillLeft: number;
  next: number;
}

/** The batch of one engine. */
export interface Batch {
  /** Queues a generation; the returned function cancels it. */
  add(generation: Generation): () => void;
  /** Takes waiting generations in and makes one token for each that is past its prefill. */
  step(): void;
  /** Tokens that the next step computes. */
  tokens(): number;
  counts(): { running: number; waiting: number };
  /** Forgets everything, as a crash does. */
  clear(): void;
}

/** Options of a batch. */
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
      const prefillLeft = Math.max(0, promptTokens(generation.prompt) - cached);
      running.push({ generation, prefillLeft, next: generation.from });
    }
  };

  const advance = (entry: Running): boolean => {
    const { generation } = entry;
    if (entry.prefillLeft > prefillTokensPerStep) {
      entry.prefillLeft -= prefillTokensPerStep; // eslint-disable-line no-param-reassign
      return true;
    }
    entry.prefillLeft = 0; // eslint-disable-line no-param-reassign
    if (entry.next < generation.maxTokens) generation.onToken(entry.next);
    entry.next += 1; // eslint-disable-line no-param-reassign
    if (entry.next < generation.maxTokens) return true;
    generation.onEnd();
    return false;
  };

  return {
    add: (generation) => {
      const behind = waiting.findIndex((other) => other.priority > generation.priority);
      waiting.splice(behind < 0 ? waiting.length : behind, 0, generation);
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
      const taken = running;
      const going = new Set(taken.filter(advance));
      running = running.filter((entry) => going.has(entry));
      onChange();
    },
    tokens: () =>
      running.reduce(
        (sum, entry) => sum + Math.max(1, Math.min(entry.prefillLeft, prefillTokensPerStep)),
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
