const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** A value as JSON in bytes. */
export const encodeJson = (value: unknown): Uint8Array => encoder.encode(JSON.stringify(value));

/** Reads JSON; undefined when the bytes are none. */
export const decodeJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(decoder.decode(bytes));
  } catch {
    return undefined;
  }
};
