import type { ModelId, UpstreamId, VersionId } from '@zinniagrade/types';

/** A command to an engine. Repeating an order with the same fencing token has no further effect. */
export interface Order {
  readonly order: 'load' | 'unload' | 'role';
  readonly model: ModelId;
  readonly version?: VersionId;
  readonly adapter?: string;
  readonly role?: string;
}

/** Store revision of the order key at the write that acquired it; rises with each new holder. */
export type FencingToken = number;

/** Value of the key `orders/<upstream>` in the store while a process may issue orders. */
export interface OrderHolder {
  readonly holder: string;
  readonly leaseId: string;
}

export const orderKey = (upstream: UpstreamId): string => `orders/${upstream}`;
