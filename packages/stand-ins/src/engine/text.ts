/** Deterministic text: what a model answers follows from the prompt alone. */
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
const MOST_REMEMBERED = 4096;
/** Odd, so that two offsets of one prompt never share a seed. */
const TOKEN_STRIDE = 7919;

/** Characters of a prompt that share one block of the prefix cache (16 tokens). */
export const BLOCK_CHARACTERS = 64;

const digest = (text: string): string => createHash('sha256').update(text).digest('hex');

/** The prompt's length in tokens. */
export const promptTokens = (prompt: string): number =>
  Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));

/** Hashes of the prompt's whole blocks; each covers all text before it. */
export const promptBlocks = (prompt: string): string[] => {
  const blocks: string[] = [];
  for (let at = 0; at + BLOCK_CHARACTERS <= prompt.length; at += BLOCK_CHARACTERS) {
    const parent = blocks.at(-1) ?? '';
    blocks.push(digest(parent + prompt.slice(at, at + BLOCK_CHARACTERS)).slice(0, 16));
  }
  return blocks;
};

const remembered = new Map<string, string>();

/** The digest of a prompt; remembered, as each of its tokens asks for it. */
const promptDigest = (prompt: string): string => {
  const known = remembered.get(prompt);
  if (known !== undefined) return known;
  if (remembered.size >= MOST_REMEMBERED) remembered.clear();
  const computed = digest(prompt);
  remembered.set(prompt, computed);
  return computed;
};

/** The token at `offset` of the answer to `prompt`. */
export const tokenText = (prompt: string, offset: number): string => {
  const seed = Number.parseInt(promptDigest(prompt).slice(0, 12), 16);
  const random = createSeededRandom(seed + offset * TOKEN_STRIDE);
  return `${offset === 0 ? '' : ' '}${WORDS[Math.floor(random() * WORDS.length)]}`;
};

/** The whole answer to a prompt. */
export const answerText = (prompt: string, maxTokens: number): string =>
  Array.from({ length: maxTokens }, (_, offset) => tokenText(prompt, offset)).join('');

/** The id of a completion; it follows from the prompt, so that a resumed stream keeps it. */
export const completionId = (prompt: string): string => `cmpl-${promptDigest(prompt).slice(0, 16)}`;

const completion = (model: string, prompt: string, text: string, finish: 'length' | null) => ({
  id: completionId(prompt),
  object: 'text_completion',
  created: 0,
  model,
  choices: [{ index: 0, text, logprobs: null, finish_reason: finish }],
});

/** One event of a streamed completion. */
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

/** The whole body of a streamed answer, from the token after `resumeAfter`. */
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

/** The body of an answer that is not streamed. */
export const completionBody = (model: string, prompt: string, maxTokens: number): string => {
  const prompted = promptTokens(prompt);
  return JSON.stringify({
    ...completion(model, prompt, answerText(prompt, maxTokens), 'length'),
    usage: {
      prompt_tokens: prompted,
      completion_tokens: maxTokens,
      total_tokens: prompted + maxTokens,
    },
  });
};
