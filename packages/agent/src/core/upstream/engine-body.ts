import { isObject } from '@plantaindrum/common';
import type { Dispatch } from '@plantaindrum/link';

/** Priorities as vLLM documents them: lower goes first. */
const ENGINE_PRIORITY: Record<Dispatch['priority'], number> = { live: 0, normal: 1, background: 2 };

const parse = (body: Uint8Array): unknown => {
  try {
    return JSON.parse(Buffer.from(body).toString());
  } catch {
    return undefined;
  }
};

const COMPLETIONS_PATH = '/v1/completions';

/**
 * A completion's body with the priority of its class. What the caller wrote there is replaced: it
 * would let one organisation go before all others. A body that is no JSON object is the engine's to
 * refuse.
 */
export const engineBody = ({ path, body, priority }: Dispatch): Uint8Array => {
  const document = path === COMPLETIONS_PATH ? parse(body) : undefined;
  if (!isObject(document)) return body;
  return Buffer.from(JSON.stringify({ ...document, priority: ENGINE_PRIORITY[priority] }));
};
