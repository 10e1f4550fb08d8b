/** Reads the intent's bytes once, and orders them by version: a restored log hands older versions out again. */

import type { Intent } from '../types.js';

/** The intent as bytes of its topic hold it. */
export interface IntentReader {
  /** Undefined for bytes that are no intent. */
  read(value: Uint8Array): Intent | undefined;
  /** Whether bytes hold a later version than others; bytes that are no intent come before all versions. */
  isNewer(value: Uint8Array, than: Uint8Array): boolean;
}

/** Creates a reader; it forgets an intent with its bytes. */
export const createIntentReader = (
  decode: (value: Uint8Array) => Intent | undefined,
): IntentReader => {
  const decoded = new WeakMap<Uint8Array, { intent: Intent | undefined }>();

  const read = (value: Uint8Array): Intent | undefined => {
    const known = decoded.get(value);
    if (known) return known.intent;
    const intent = decode(value);
    decoded.set(value, { intent });
    return intent;
  };

  const versionOf = (value: Uint8Array): number => read(value)?.version ?? -Infinity;

  return { read, isNewer: (value, than) => versionOf(value) > versionOf(than) };
};
