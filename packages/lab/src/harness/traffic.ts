import type { Random } from '@plantaindrum/common';
import type { CallSpec } from './caller.js';

/** One kind of call in a load. */
export interface TrafficKind {
  /** Class of the call. */
  class: string;
  /** Organisations that make the call, by descending frequency. */
  organisations: string[];
  perSecond: number;
  /** Builds one call. */
  make(context: TrafficContext): Omit<CallSpec, 'url' | 'key'>;
}

/** Input of `TrafficKind.make`. */
export interface TrafficContext {
  /** Number of the call within its load, from 0. */
  n: number;
  organisation: string;
  random: Random;
  /** Identifies the load among those of several runs. */
  run: string;
}

/** The API key of an organisation in the example intent files. */
export const exampleKey = (organisation: string): string => `example-key-${organisation}`;

interface CompletionOptions {
  model: string;
  prompt: string;
  maxTokens: number;
  stream: boolean;
}

/** Builds a completion call. */
export const completion = (options: CompletionOptions): Omit<CallSpec, 'url' | 'key'> => ({
  path: '/v1/completions',
  body: {
    model: options.model,
    prompt: options.prompt,
    max_tokens: options.maxTokens,
    stream: options.stream,
  },
});

/** Picks an organisation at random; those earlier in the list are picked more often. */
export const pickOrganisation = (organisations: string[], random: Random): string => {
  const index = Math.floor(random() ** 2 * organisations.length);
  return organisations[index] ?? organisations[0] ?? '';
};
