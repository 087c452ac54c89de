/** Collects the chunks of a body up to a size limit. */
export interface BoundedBody {
  /** False, and the chunk is dropped, if the body would exceed the limit. */
  readonly add: (chunk: Uint8Array) => boolean;
  readonly toBuffer: () => Buffer;
  /** Number of pieces in memory. */
  readonly chunkCount: () => number;
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

/**
 * Smaller chunks are copied into blocks of this size: a body of many small ones would take a
 * multiple of its bytes.
 */
const blockSize = 4096;

export const BoundedBody = {
  /** `memory` is the memory that the body shares with others, if any. */
  create: (maxBytes: number, memory?: BodyMemory): BoundedBody => {
    const chunks: Uint8Array[] = [];
    /** The last chunk, if it has room for more small ones. */
    let block: Buffer | undefined;
    let blockBytes = 0;
    let size = 0;
    let countedBytes = 0;
    const append = (chunk: Uint8Array): void => {
      if (chunk.length >= blockSize) {
        block = undefined;
        chunks.push(chunk);
        return;
      }
      if (block === undefined || blockBytes + chunk.length > blockSize) {
        block = Buffer.allocUnsafeSlow(blockSize);
        blockBytes = 0;
        chunks.push(block.subarray(0, 0));
      }
      block.set(chunk, blockBytes);
      blockBytes += chunk.length;
      chunks[chunks.length - 1] = block.subarray(0, blockBytes);
    };
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
        append(chunk);
        return true;
      },
      toBuffer: () => Buffer.concat(chunks),
      chunkCount: () => chunks.length,
      release: () => {
        memory?.free(countedBytes);
        countedBytes = 0;
        chunks.length = 0;
        block = undefined;
      },
    };
  },
};
