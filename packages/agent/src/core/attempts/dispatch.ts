/** What follows from an entry's dispatch. */

import type { Dispatch } from '@plantaindrum/link';

/** Tokens of a completion that names no limit (the default of the OpenAI interface). */
const DEFAULT_MAX_TOKENS = 16;
/** Longer bodies are not parsed again only to learn their limit. */
const MAX_PARSED_BYTES = 65_536;

const maxTokens = (body: Uint8Array): number => {
  if (body.length > MAX_PARSED_BYTES) return DEFAULT_MAX_TOKENS;
  try {
    const { max_tokens: tokens } = JSON.parse(Buffer.from(body).toString()) as Record<
      string,
      unknown
    >;
    return typeof tokens === 'number' && tokens >= 1 ? tokens : DEFAULT_MAX_TOKENS;
  } catch {
    return DEFAULT_MAX_TOKENS;
  }
};

/** Expected cost of work at the upstream: tokens to be generated, 1 for a plain call. */
export const expectedCost = (dispatch: Dispatch): number =>
  dispatch.path.endsWith('/completions') ? maxTokens(dispatch.body) : 1;

/** Whether work must not be given to the upstream a second time, whatever becomes of the first. */
export const runsAtMostOnce = (dispatch: Dispatch): boolean =>
  dispatch.mayNotRepeat || dispatch.idempotency !== undefined;
