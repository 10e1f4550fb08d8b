import { decodeJson, isObject } from '@plantaindrum/common';
import type { Dispatch } from '@plantaindrum/link';

/** Request priorities of vLLM: a lower value is scheduled first. */
const ENGINE_PRIORITY: Record<Dispatch['priority'], number> = { live: 0, normal: 1, background: 2 };

const COMPLETIONS_PATH = '/v1/completions';

/**
 * Sets the priority of its class in the body of a completion. A priority of the caller is overwritten:
 * it would let one organisation overtake all others. A body that is not a JSON object is left for the
 * engine to refuse.
 */
export const encodeEngineBody = ({ path, body, priority }: Dispatch): Uint8Array => {
  const document = path === COMPLETIONS_PATH ? decodeJson(body) : undefined;
  if (!isObject(document)) return body;
  return Buffer.from(JSON.stringify({ ...document, priority: ENGINE_PRIORITY[priority] }));
};
