/** Finds the ends of events in a byte stream of server-sent events (WHATWG HTML, 9.2), without keeping bytes. */

/**
 * Handles the end of a block at a blank line, with the position after that: whether the block has a field, without which
 * it is no event, and whether one of its lines may be an id.
 */
export type BlockHandler = (end: number, hasFields: boolean, mayHaveId: boolean) => void;

/** Scans one stream. */
export interface EventScanner {
  /** Scans bytes; `onBlock` is called for each blank line. */
  scan(bytes: Uint8Array, onBlock: BlockHandler): void;
  /** Whether the bytes so far end before the blank line that ends a block. */
  isWithinBlock(): boolean;
}

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
const LETTER_I = 0x69;

/** Creates the scanner of one stream. */
export const createEventScanner = (): EventScanner => {
  let line: 'empty' | 'carriage-return' | 'text' = 'empty';
  let isEmptyBlock = true;
  let hasFields = false;
  let mayHaveId = false;

  const beginText = (byte: number): void => {
    line = 'text';
    isEmptyBlock = false;
    hasFields ||= byte !== COLON;
    mayHaveId ||= byte === LETTER_I;
  };

  return {
    scan: (bytes, onBlock) => {
      for (let at = 0; at < bytes.length; at += 1) {
        const byte = bytes[at] ?? 0;
        if (byte === LF) {
          if (line !== 'text') {
            onBlock(at + 1, hasFields, mayHaveId);
            isEmptyBlock = true;
            hasFields = false;
            mayHaveId = false;
          }
          line = 'empty';
        } else if (line === 'text') {
          const next = bytes.indexOf(LF, at);
          at = (next < 0 ? bytes.length : next) - 1;
        } else if (line === 'empty' && byte === CR) line = 'carriage-return';
        else beginText(line === 'empty' ? byte : CR);
      }
    },
    isWithinBlock: () => !isEmptyBlock || line !== 'empty',
  };
};
