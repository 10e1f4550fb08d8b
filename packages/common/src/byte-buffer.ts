/** Bytes in one contiguous buffer that grows and shrinks with its content. */
export interface ByteBuffer {
  append(bytes: Uint8Array): void;
  /** Returns the content without a copy; it stays as it is when the buffer changes. */
  bytes(): Buffer;
  length(): number;
  /** Removes this many bytes from the front. */
  drop(count: number): void;
  /** Returns the content and empties the buffer. */
  take(): Buffer;
}

const MIN_CAPACITY_BYTES = 64;
/** The buffer is reallocated when its content takes less than this fraction of it. */
const MIN_FILL_FRACTION = 0.25;

const empty = Buffer.alloc(0);

/**
 * Creates an empty buffer. Whatever the sizes in which content is appended and dropped, it holds at most four times its
 * content, and the bytes that are copied are in proportion to those that are appended.
 */
export const createByteBuffer = (): ByteBuffer => {
  let storage: Buffer = empty;
  let start = 0;
  let end = 0;

  // The content is copied to new storage and never moved within the old one, to which views may have been returned.
  const reallocate = (capacity: number): void => {
    const next = Buffer.allocUnsafe(Math.max(capacity, MIN_CAPACITY_BYTES));
    storage.copy(next, 0, start, end);
    end -= start;
    start = 0;
    storage = next;
  };

  const clear = (): void => {
    storage = empty;
    start = 0;
    end = 0;
  };

  const drop = (count: number): void => {
    start += count;
    const length = end - start;
    if (length === 0) clear();
    else if (length < storage.length * MIN_FILL_FRACTION) reallocate(2 * length);
  };

  const bytes = (): Buffer => storage.subarray(start, end);

  return {
    append: (added) => {
      const length = end - start;
      if (end + added.length > storage.length) {
        reallocate(Math.max(2 * length, length + added.length));
      }
      storage.set(added, end);
      end += added.length;
    },
    bytes,
    length: () => end - start,
    drop,
    take: () => {
      const content = bytes();
      clear();
      return content;
    },
  };
};
