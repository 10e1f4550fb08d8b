/** What a load sends and when: decided before it starts, by a seed. */
import { createSeededRandom } from '@plantaindrum/common';

/** A stream of completions whose prompts share prefixes. */
export interface CompletionWork {
  kind: 'completion';
  model: string;
  stream: boolean;
  /** Number of different prefixes that prompts begin with, and their length in characters. */
  prefixes: number;
  prefixCharacters: number;
  /** Least and most tokens of an answer. */
  tokens: [number, number];
}

/** A stream of calls to a plain service. */
export interface ServiceWork {
  kind: 'service';
  path: string;
  /** Sends an idempotency key with each call. */
  keyed: boolean;
}

/** One organisation's calls of one class; arrivals are a Poisson process. */
export interface LoadStream {
  organisation: string;
  apiKey: string;
  class: string;
  perSecond: number;
  /** First and last milliseconds of the load in which it sends; all of it by default. */
  window?: [number, number];
  /** Latest first token or whole answer that counts as in time, in milliseconds. */
  targetMs: number;
  /** Share of keyed calls that are sent a second time at once, through another entry. */
  twiceShare?: number;
  work: CompletionWork | ServiceWork;
}

/** One call of the plan. */
export interface Arrival {
  /** Milliseconds after the start of the load. */
  atMs: number;
  /** Number of the call, from 0; a repeat has its own. */
  index: number;
  stream: LoadStream;
  /** Unique for each call that is not a repeat. */
  key: string;
  repeat: boolean;
  prompt: string;
  maxTokens: number;
}

const WORD = 'lot bid title paint frame diff page button banner note ';

const prefixOf = (stream: LoadStream, work: CompletionWork, number: number): string => {
  const head = `${stream.organisation} ${stream.class} template ${number}: `;
  return (head + WORD.repeat(Math.ceil(work.prefixCharacters / WORD.length))).slice(
    0,
    Math.max(head.length, work.prefixCharacters),
  );
};

const draw = (random: () => number, [least, most]: [number, number]): number =>
  least + Math.floor(random() * (most - least + 1));

/** The arrivals of one stream; its randomness does not depend on the other streams. */
const arrivalsOf = (
  stream: LoadStream,
  seed: number,
  name: string,
  durationMs: number,
): Omit<Arrival, 'index'>[] => {
  const random = createSeededRandom(seed);
  const [from, to] = stream.window ?? [0, durationMs];
  const arrivals: Omit<Arrival, 'index'>[] = [];
  const { work } = stream;
  const gap = (): number => (-Math.log(1 - random()) * 1000) / stream.perSecond;
  for (let atMs = from + gap(); atMs < Math.min(to, durationMs); atMs += gap()) {
    const key = `${name}-${arrivals.length}`;
    const shape = work.kind === 'completion' ? work : undefined;
    const arrival = {
      atMs,
      stream,
      key,
      repeat: false,
      prompt: shape
        ? `${prefixOf(stream, shape, draw(random, [1, shape.prefixes]))} call ${key}`
        : '',
      maxTokens: shape ? draw(random, shape.tokens) : 0,
    };
    arrivals.push(arrival);
    const twice = random() < (stream.twiceShare ?? 0);
    if (twice) arrivals.push({ ...arrival, repeat: true });
  }
  return arrivals;
};

/** Plans a load; the same streams, seed and duration give the same calls. */
export const planArrivals = (streams: LoadStream[], seed: number, durationMs: number): Arrival[] =>
  streams
    .flatMap((stream, at) => arrivalsOf(stream, seed * 1000 + at, `${seed}-${at}`, durationMs))
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, index) => ({ ...arrival, index }));
