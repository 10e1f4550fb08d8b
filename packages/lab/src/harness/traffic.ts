import type { Random } from '@plantaindrum/common';
import type { CallSpec } from './caller.js';

/** One kind of call in a load. */
export interface TrafficKind {
  /** The class that the call falls in. */
  class: string;
  /** Organisations that make it; the first sends the most. */
  organisations: string[];
  perSecond: number;
  /** Builds the n-th call. */
  make(context: TrafficContext): Omit<CallSpec, 'url' | 'key'>;
}

/** What a kind's builder may use. */
export interface TrafficContext {
  /** Counts the calls of one load, from 0. */
  n: number;
  organisation: string;
  random: Random;
  /** Tells the loads of several runs apart. */
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

/** A completion call at the callers' door. */
export const completion = (options: CompletionOptions): Omit<CallSpec, 'url' | 'key'> => ({
  path: '/v1/completions',
  body: {
    model: options.model,
    prompt: options.prompt,
    max_tokens: options.maxTokens,
    stream: options.stream,
  },
});

/** The larger organisations come first in the list and are picked more often. */
export const pickOrganisation = (organisations: string[], random: Random): string => {
  const index = Math.floor(random() ** 2 * organisations.length);
  return organisations[index] ?? organisations[0] ?? '';
};
