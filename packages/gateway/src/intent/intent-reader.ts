/** Decodes the intent and compares versions of it: after a log has been restored, older versions may be read again. */

import type { Intent } from '../types.js';

/** Reads the intent from the values of its topic. */
export interface IntentReader {
  /** Decodes a value; undefined when it is not a valid intent. */
  read(value: Uint8Array): Intent | undefined;
  /**
   * Whether a value of the intent's key has a later version than another one; an invalid value is older than all
   * versions. False for other keys, whose values have no version: the order of the log decides for them.
   */
  isNewer(value: Uint8Array, other: Uint8Array, key: string): boolean;
}

/** Creates a reader. It decodes each value once, and keeps the result as long as the value is referenced. */
export const createIntentReader = (
  decode: (value: Uint8Array) => Intent | undefined,
  intentKey: string,
): IntentReader => {
  const decoded = new WeakMap<Uint8Array, { intent: Intent | undefined }>();

  const read = (value: Uint8Array): Intent | undefined => {
    const cached = decoded.get(value);
    if (cached) return cached.intent;
    const intent = decode(value);
    decoded.set(value, { intent });
    return intent;
  };

  const versionOf = (value: Uint8Array): number => read(value)?.version ?? -Infinity;

  const isNewer: IntentReader['isNewer'] = (value, other, key) =>
    key === intentKey && versionOf(value) > versionOf(other);

  return { read, isNewer };
};
