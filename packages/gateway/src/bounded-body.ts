/** Collects the chunks of a body up to a size limit. */
export interface BoundedBody {
  /** False, and the chunk is dropped, if the body would exceed the limit. */
  readonly add: (chunk: Uint8Array) => boolean;
  readonly toBuffer: () => Buffer;
  /** Frees the memory; to be called once the body is no longer needed. */
  readonly release: () => void;
}

/** Memory that bodies share. */
export interface BodyMemory {
  /** False if the memory is full. */
  readonly take: (bytes: number) => boolean;
  readonly free: (bytes: number) => void;
  readonly usedBytes: () => number;
}

export const BodyMemory = {
  /** `makeRoom` bounds others that share the memory; it returns the bytes that they hold then. */
  create: (maxBytes: number, makeRoom?: (availableBytes: number) => number): BodyMemory => {
    let usedBytes = 0;
    return {
      take: (bytes) => {
        const availableBytes = maxBytes - usedBytes - bytes;
        if (availableBytes < 0 || (makeRoom?.(availableBytes) ?? 0) > availableBytes) {
          return false;
        }
        usedBytes += bytes;
        return true;
      },
      free: (bytes) => {
        usedBytes -= bytes;
      },
      usedBytes: () => usedBytes,
    };
  },
};

/** Not counted in shared memory, so that a few large bodies don't keep out the many small ones. */
const uncountedBytes = 32 * 1024;

export const BoundedBody = {
  /** `memory` is the memory that the body shares with others, if any. */
  create: (maxBytes: number, memory?: BodyMemory): BoundedBody => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    let countedBytes = 0;
    return {
      add: (chunk) => {
        const newSize = size + chunk.length;
        const newCountedBytes = Math.max(0, newSize - uncountedBytes);
        const addedBytes = newCountedBytes - countedBytes;
        // Another body may fill the memory, or more than that: the first part needs none of it.
        const isTooLarge = newSize > maxBytes;
        if (isTooLarge || (addedBytes > 0 && memory?.take(addedBytes) === false)) {
          return false;
        }
        size = newSize;
        countedBytes = newCountedBytes;
        chunks.push(chunk);
        return true;
      },
      toBuffer: () => Buffer.concat(chunks),
      release: () => {
        memory?.free(countedBytes);
        countedBytes = 0;
        chunks.length = 0;
      },
    };
  },
};
