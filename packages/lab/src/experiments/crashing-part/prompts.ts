/** Prompts of the callers, and the parts on which upstreams crash, drawn by a seed. */

import type { Random } from '@plantaindrum/common';

/** A request to send. */
export interface PromptRequest {
  /** Ids of the parts, the request's own part last. */
  parts: readonly string[];
  key: string;
  kind: 'gen' | 'safe';
  isHarmful: boolean;
}

/** Draws requests. */
export interface PromptSource {
  /** Parts on which upstreams crash. */
  crashParts: readonly string[];
  drawSound(): PromptRequest;
  drawHarmful(): PromptRequest;
  /** Whether a sound request shares the key or the first part with requests that crash upstreams. */
  isCompanion(request: PromptRequest): boolean;
}

/** Options of `createPromptSource`. */
export interface PromptOptions {
  /** Number of parts on which upstreams crash. */
  crashParts: number;
  /** Whether such a part is the first one of its prompts. */
  isFirst: boolean;
  /** Whether some requests have no stream. */
  isMixed: boolean;
}

/** API keys of the callers. */
export const PROMPT_KEYS = ['key-a', 'key-b'];
/** Number of first parts, and of the parts between the first and the last one, that requests share. */
const FIRST_PARTS = 4;
const MIDDLE_PARTS = 24;
const MAX_MIDDLE_PARTS = 4;
/** Fraction of the requests without a stream, where there are any. */
const PLAIN_FRACTION = 0.4;
/** Keys and first parts of harmful requests; the other half of the sound ones has others. */
const COMPANION_FIRST_PARTS = FIRST_PARTS / 2;
const ID_DIGITS = 8;

const pick = <T>(random: Random, values: readonly T[]): T =>
  values[Math.floor(random() * values.length)] as T;

/** Creates the source; the same seed draws the same parts. */
export const createPromptSource = (random: Random, options: PromptOptions): PromptSource => {
  const drawId = (): string =>
    Math.floor(random() * 16 ** ID_DIGITS)
      .toString(16)
      .padStart(ID_DIGITS, '0');
  const drawIds = (count: number): string[] => Array.from({ length: count }, drawId);
  const firstParts = drawIds(FIRST_PARTS);
  const middleParts = drawIds(MIDDLE_PARTS);
  const crashParts = drawIds(options.crashParts);
  const middleCount = Math.ceil(random() * MAX_MIDDLE_PARTS);
  // The larger, the more requests share the first few parts.
  const popularity = 0.5 + random() * 2;
  const companionKey = pick(random, PROMPT_KEYS);

  const drawMiddle = (): string =>
    middleParts[Math.floor(random() ** popularity * MIDDLE_PARTS)] as string;
  const drawKind = (): PromptRequest['kind'] =>
    options.isMixed && random() < PLAIN_FRACTION ? 'safe' : 'gen';
  const drawShared = (firsts: readonly string[]): string[] => [
    pick(random, firsts),
    ...new Set(Array.from({ length: middleCount }, drawMiddle)),
  ];

  return {
    crashParts,
    drawSound: () => ({
      parts: [...drawShared(firstParts), drawId()],
      key: pick(random, PROMPT_KEYS),
      kind: drawKind(),
      isHarmful: false,
    }),
    drawHarmful: () => {
      const [first = '', ...middle] = drawShared(firstParts.slice(0, COMPANION_FIRST_PARTS));
      const crashPart = pick(random, crashParts);
      const at = Math.floor(random() * (middle.length + 1));
      const shared = options.isFirst
        ? [crashPart, ...middle]
        : [first, ...middle.slice(0, at), crashPart, ...middle.slice(at)];
      return { parts: [...shared, drawId()], key: companionKey, kind: drawKind(), isHarmful: true };
    },
    isCompanion: ({ key, parts: [first = ''] }) =>
      key === companionKey || firstParts.indexOf(first) < COMPANION_FIRST_PARTS,
  };
};
