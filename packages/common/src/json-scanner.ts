/** Scans JSON without parsing it into values, each of which takes many times its bytes. */

/** Scans one JSON text. */
export interface JsonScanner {
  push(bytes: Uint8Array): void;
  /** Whether the text ends within a list, an object or a string, or is empty. */
  isOpen(): boolean;
  /** Upper bound of the number of values, including the names of fields. */
  valueCount(): number;
}

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const OPENING_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;
const SPACE = 0x20;

/** Creates the scanner of one text. */
export const createJsonScanner = (): JsonScanner => {
  let isInString = false;
  let isEscaped = false;
  let depth = 0;
  let values = 0;

  const scanString = (byte: number): void => {
    if (isEscaped) isEscaped = false;
    else if (byte === BACKSLASH) isEscaped = true;
    else if (byte === QUOTE) isInString = false;
  };

  const scanStructure = (byte: number): void => {
    if (byte > SPACE && values === 0) values = 1;
    if (byte === QUOTE) isInString = true;
    else if (byte === COMMA || byte === COLON) values += 1;
    else if (byte === OPENING_BRACKET || byte === OPENING_BRACE) {
      depth += 1;
      values += 1;
    } else if (byte === CLOSING_BRACKET || byte === CLOSING_BRACE) depth -= 1;
  };

  return {
    push: (bytes) => {
      for (let at = 0; at < bytes.length; at += 1) {
        const byte = bytes[at] ?? 0;
        if (isInString) scanString(byte);
        else scanStructure(byte);
      }
    },
    isOpen: () => isInString || depth !== 0 || values === 0,
    valueCount: () => values,
  };
};
