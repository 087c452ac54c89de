/** Collects the chunks of a body up to a size limit. */
export interface BoundedBody {
  /** False, and the chunk is dropped, if the body would exceed the limit. */
  readonly add: (chunk: Buffer) => boolean;
  readonly toBuffer: () => Buffer;
}

export const BoundedBody = {
  create: (maxBytes: number): BoundedBody => {
    const chunks: Buffer[] = [];
    let size = 0;
    return {
      add: (chunk) => {
        if (size + chunk.length > maxBytes) {
          return false;
        }
        size += chunk.length;
        chunks.push(chunk);
        return true;
      },
      toBuffer: () => Buffer.concat(chunks),
    };
  },
};
