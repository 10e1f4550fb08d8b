import { createJsonScanner } from './json-scanner.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Values of a JSON text that is decoded: each takes up to some sixty bytes, also where its text takes two. */
const MAX_VALUES = 262_144;

/** Encodes a value as JSON in UTF-8. */
export const encodeJson = (value: unknown): Uint8Array => encoder.encode(JSON.stringify(value));

/** Decodes JSON in UTF-8; undefined if the bytes are not valid JSON, or have more than 262,144 values. */
export const decodeJson = (bytes: Uint8Array): unknown => {
  const scanner = createJsonScanner();
  scanner.push(bytes);
  if (scanner.isOpen() || scanner.valueCount() > MAX_VALUES) return undefined;
  try {
    return JSON.parse(decoder.decode(bytes));
  } catch {
    return undefined;
  }
};
