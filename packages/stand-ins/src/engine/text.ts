/** Deterministic model output: the text of a response depends on the prompt only. */
import { createHash } from 'node:crypto';
import { createSeededRandom } from '@plantaindrum/common';

const WORDS = [
  'sedan',
  'coupe',
  'lot',
  'bid',
  'title',
  'clean',
  'paint',
  'wheel',
  'frame',
  'engine',
  'mileage',
  'report',
  'minor',
  'scratch',
  'front',
  'rear',
  'panel',
  'diff',
  'layout',
  'button',
  'banner',
  'header',
  'shifted',
  'pixel',
  'baseline',
  'approve',
  'review',
  'verdict',
  'summary',
  'note',
  'page',
  'release',
];
const CHARACTERS_PER_TOKEN = 4;
const MAX_CACHED_DIGESTS = 4096;
/**
 * Distance between the seeds of successive tokens; odd, so that two offsets of a prompt never share
 * one.
 */
const TOKEN_STRIDE = 7919;

/** Characters per block of the prefix cache (16 tokens). */
export const BLOCK_CHARACTERS = 64;

const digest = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Returns the length of a prompt in tokens. */
export const promptTokens = (prompt: string): number =>
  Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));

/** Returns the hashes of the prompt's full blocks; each hash also covers all preceding text. */
export const promptBlocks = (prompt: string): string[] => {
  const blocks: string[] = [];
  for (let at = 0; at + BLOCK_CHARACTERS <= prompt.length; at += BLOCK_CHARACTERS) {
    const parent = blocks.at(-1) ?? '';
    blocks.push(digest(parent + prompt.slice(at, at + BLOCK_CHARACTERS)).slice(0, 16));
  }
  return blocks;
};

const digestCache = new Map<string, string>();

/** Returns the digest of a prompt; cached because every token of the response needs it. */
const promptDigest = (prompt: string): string => {
  const cachedDigest = digestCache.get(prompt);
  if (cachedDigest !== undefined) return cachedDigest;
  if (digestCache.size >= MAX_CACHED_DIGESTS) digestCache.clear();
  const computed = digest(prompt);
  digestCache.set(prompt, computed);
  return computed;
};

/** Returns the token at `offset` of the response to `prompt`. */
export const tokenText = (prompt: string, offset: number): string => {
  const seed = Number.parseInt(promptDigest(prompt).slice(0, 12), 16);
  const random = createSeededRandom(seed + offset * TOKEN_STRIDE);
  return `${offset === 0 ? '' : ' '}${WORDS[Math.floor(random() * WORDS.length)]}`;
};

/** Returns the full response text for a prompt. */
export const answerText = (prompt: string, maxTokens: number): string =>
  Array.from({ length: maxTokens }, (_, offset) => tokenText(prompt, offset)).join('');

/** Returns the id of a completion; derived from the prompt, so that a resumed stream keeps it. */
export const completionId = (prompt: string): string => `cmpl-${promptDigest(prompt).slice(0, 16)}`;

const completion = (
  model: string,
  prompt: string,
  text: string,
  finishReason: 'length' | null,
) => ({
  id: completionId(prompt),
  object: 'text_completion',
  created: 0,
  model,
  choices: [{ index: 0, text, logprobs: null, finish_reason: finishReason }],
});

/** Returns the event for one token of a streamed completion. */
export const tokenEvent = (
  model: string,
  prompt: string,
  offset: number,
  maxTokens: number,
): string => {
  const finish = offset === maxTokens - 1 ? 'length' : null;
  const data = JSON.stringify(completion(model, prompt, tokenText(prompt, offset), finish));
  return `id: ${offset}\ndata: ${data}\n\n`;
};

/** The event that ends a stream. */
export const DONE_EVENT = 'data: [DONE]\n\n';

/** Returns the full body of a streamed response, starting after the token `resumeAfter`. */
export const streamBody = (
  model: string,
  prompt: string,
  maxTokens: number,
  resumeAfter = -1,
): string => {
  const offsets = Array.from({ length: maxTokens }, (_, offset) => offset);
  const events = offsets
    .filter((offset) => offset > resumeAfter)
    .map((offset) => tokenEvent(model, prompt, offset, maxTokens));
  return events.join('') + DONE_EVENT;
};

/** Returns the body of a response that is not streamed. */
export const completionBody = (model: string, prompt: string, maxTokens: number): string => {
  const promptTokenCount = promptTokens(prompt);
  return JSON.stringify({
    ...completion(model, prompt, answerText(prompt, maxTokens), 'length'),
    usage: {
      prompt_tokens: promptTokenCount,
      completion_tokens: maxTokens,
      total_tokens: promptTokenCount + maxTokens,
    },
  });
};
