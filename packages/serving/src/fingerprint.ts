import { createHash } from 'node:crypto';

/** SHA-256 of these fields in this order; fields of other lengths never have the same one. */
export const fingerprintOf = (...fields: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  for (const field of fields) {
    hash.update(`${String(Buffer.byteLength(field))}:`);
    hash.update(field);
  }
  return hash.digest('base64url');
};
