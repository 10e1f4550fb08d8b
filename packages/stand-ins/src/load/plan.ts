/** Plans the calls of a load and their times in advance, deterministically from a seed. */
import { createSeededRandom } from '@plantaindrum/common';

/** Completion requests whose prompts share prefixes. */
export interface CompletionWork {
  kind: 'completion';
  model: string;
  stream: boolean;
  /** Number of distinct prompt prefixes, and their length in characters. */
  prefixes: number;
  prefixCharacters: number;
  /** Minimum and maximum number of tokens of a response. */
  tokens: [number, number];
}

/** Calls to a plain service. */
export interface ServiceWork {
  kind: 'service';
  path: string;
  /** Sends an idempotency key with each call. */
  keyed: boolean;
}

/** One organisation's calls of one class; arrivals form a Poisson process. */
export interface LoadStream {
  organisation: string;
  apiKey: string;
  class: string;
  perSecond: number;
  /**
   * Start and end of sending, in milliseconds after the start of the load; all of it by default.
   */
  window?: [number, number];
  /** Time limit in milliseconds for the first token of a stream, or else the full response. */
  targetMs: number;
  /** Fraction of (keyed) calls that are immediately sent a second time, through another entry. */
  duplicateShare?: number;
  work: CompletionWork | ServiceWork;
}

/** One call of the plan. */
export interface Arrival {
  /** Milliseconds after the start of the load. */
  atMs: number;
  /** Sequence number of the call, from 0; a repeat has its own. */
  index: number;
  stream: LoadStream;
  /** Unique for each call; a repeat has the key of its original. */
  key: string;
  repeat: boolean;
  prompt: string;
  maxTokens: number;
}

const FILLER = 'lot bid title paint frame diff page button banner note ';

const prefixOf = (stream: LoadStream, work: CompletionWork, number: number): string => {
  const head = `${stream.organisation} ${stream.class} template ${number}: `;
  return (head + FILLER.repeat(Math.ceil(work.prefixCharacters / FILLER.length))).slice(
    0,
    Math.max(head.length, work.prefixCharacters),
  );
};

const randomInteger = (random: () => number, [min, max]: [number, number]): number =>
  min + Math.floor(random() * (max - min + 1));

/** Plans the arrivals of one stream; its random numbers are independent of the other streams. */
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
  const drawGapMs = (): number => (-Math.log(1 - random()) * 1000) / stream.perSecond;
  for (let atMs = from + drawGapMs(); atMs < Math.min(to, durationMs); atMs += drawGapMs()) {
    const key = `${name}-${arrivals.length}`;
    const completion = work.kind === 'completion' ? work : undefined;
    const arrival = {
      atMs,
      stream,
      key,
      repeat: false,
      prompt: completion
        ? `${prefixOf(stream, completion, randomInteger(random, [1, completion.prefixes]))} call ${key}`
        : '',
      maxTokens: completion ? randomInteger(random, completion.tokens) : 0,
    };
    arrivals.push(arrival);
    const isDuplicated = random() < (stream.duplicateShare ?? 0);
    if (isDuplicated) arrivals.push({ ...arrival, repeat: true });
  }
  return arrivals;
};

/** Plans a load; the same streams, seed and duration yield the same calls. */
export const planArrivals = (streams: LoadStream[], seed: number, durationMs: number): Arrival[] =>
  streams
    .flatMap((stream, at) => arrivalsOf(stream, seed * 1000 + at, `${seed}-${at}`, durationMs))
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, index) => ({ ...arrival, index }));
