import { createHash } from 'node:crypto';
import type { ServiceId } from '@zinniagrade/types';

/** The content of a call, which must be the same whenever its key is used again. */
export interface CallBody {
  readonly service: ServiceId;
  readonly operation: string;
  readonly arguments: unknown;
}

const sortKeys = (_key: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1)))
    : value;

/** SHA-256 of the content of a call, independent of the order of object keys. */
export const fingerprintOf = ({ service, operation, arguments: callArguments }: CallBody): string =>
  createHash('sha256')
    .update(JSON.stringify([service, operation, callArguments ?? null], sortKeys))
    .digest('base64url');
