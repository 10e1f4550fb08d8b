const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Encodes a value as JSON in UTF-8. */
export const encodeJson = (value: unknown): Uint8Array => encoder.encode(JSON.stringify(value));

/** Decodes JSON in UTF-8; undefined if the bytes are not valid JSON. */
export const decodeJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(decoder.decode(bytes));
  } catch {
    return undefined;
  }
};
