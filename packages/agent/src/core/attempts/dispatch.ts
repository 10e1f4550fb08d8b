/** Derives cost and repeatability of a request from its dispatch. */

import { decodeJson, isObject } from '@plantaindrum/common';
import type { Dispatch } from '@plantaindrum/link';

/** Token limit of a completion that sets none (default of the OpenAI API). */
const DEFAULT_MAX_TOKENS = 16;
/** Larger bodies are not parsed just for their token limit. */
const MAX_PARSED_BYTES = 65_536;

const maxTokens = (body: Uint8Array): number => {
  if (body.length > MAX_PARSED_BYTES) return DEFAULT_MAX_TOKENS;
  const document = decodeJson(body);
  const tokens = isObject(document) ? document.max_tokens : undefined;
  return typeof tokens === 'number' && tokens >= 1 ? tokens : DEFAULT_MAX_TOKENS;
};

/** Expected cost at the upstream: tokens to generate for a completion, 1 for any other request. */
export const expectedCost = (dispatch: Dispatch): number =>
  dispatch.path.endsWith('/completions') ? maxTokens(dispatch.body) : 1;

/** Whether the request must not be sent to the upstream twice, whatever the first outcome is. */
export const runsAtMostOnce = (dispatch: Dispatch): boolean =>
  dispatch.mayNotRepeat || dispatch.idempotency !== undefined;
