import { fingerprintOf } from '@zinniagrade/serving';
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

/** Fingerprint of the content of a call, independent of the order of object keys. */
export const callFingerprintOf = ({
  service,
  operation,
  arguments: callArguments,
}: CallBody): string =>
  fingerprintOf(JSON.stringify([service, operation, callArguments ?? null], sortKeys));
