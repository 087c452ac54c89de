/** The bytes of a stream from the first one that its parser has not consumed. */
export interface PendingBytes {
  /** Adds bytes at the end. Takes a time in proportion to these bytes, averaged over many calls. */
  readonly append: (bytes: Buffer) => void;
  /** All pending bytes. The view stays valid after later calls, but doesn't grow. */
  readonly view: () => Buffer;
  /** Number of pending bytes. */
  readonly size: () => number;
  /** Drops pending bytes from the start. */
  readonly consume: (size: number) => void;
}

const noBytes = Buffer.alloc(0);
/** Growing by a constant factor bounds how often a byte is copied. */
const growthFactor = 2;

export const PendingBytes = {
  create: (): PendingBytes => {
    /** Its bytes before `end` never change, as views of them are in use. */
    let storage: Buffer = noBytes;
    let start = 0;
    let end = 0;
    /** Whether the storage has room of its own after `end`. */
    let isGrown = false;

    const grow = (minSize: number): void => {
      const grown = Buffer.allocUnsafe(minSize * growthFactor);
      storage.copy(grown, 0, start, end);
      end -= start;
      start = 0;
      storage = grown;
      isGrown = true;
    };

    return {
      append: (bytes) => {
        if (start === end) {
          storage = bytes;
          start = 0;
          end = bytes.length;
          isGrown = false;
          return;
        }
        if (!isGrown || end + bytes.length > storage.length) {
          grow(end - start + bytes.length);
        }
        bytes.copy(storage, end);
        end += bytes.length;
      },
      view: () => storage.subarray(start, end),
      size: () => end - start,
      consume: (size) => {
        start += size;
        if (start === end) {
          storage = noBytes;
          start = 0;
          end = 0;
        }
      },
    };
  },
};
