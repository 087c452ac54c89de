import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Bounds the cache, as nodes that are replaced leave their entries behind. */
const maxCachedHashes = 16_384;
const cachedHashes = new Map<string, number>();

/** Unsigned 32-bit xxHash; the same on every node. */
export const hash32 = (text: string): number => {
  const cached = cachedHashes.get(text);
  if (cached !== undefined) {
    return cached;
  }
  if (cachedHashes.size >= maxCachedHashes) {
    cachedHashes.clear();
  }
  const hash = hasher.h32(text) >>> 0;
  cachedHashes.set(text, hash);
  return hash;
};

/** Rendezvous hashing: the `count` ids whose hash in combination with the key is highest. */
export const chooseByRendezvous = (
  key: string,
  ids: readonly string[],
  count = 1,
): readonly string[] =>
  ids
    .map((id) => ({ id, weight: hasher.h32(`${key}|${id}`) >>> 0 }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map(({ id }) => id);
