import { z } from 'zod';

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Credential of an operator; only the hash of the token is stored here. */
export interface OperatorCredential {
  readonly name: string;
  /** SHA-256 of the bearer token, hexadecimal. */
  readonly tokenHash: string;
}

/** Settings of the operator process. */
export interface OperatorSettings {
  readonly name: string;
  readonly listen: Address;
  readonly credentials: readonly OperatorCredential[];
  readonly platform: Address;
  /** Timeline collector; absent in a deployment without one. */
  readonly timeline?: Address | undefined;
  /**
   * Addresses of node links to notify of changes, also while the store is down; a subset of nodes
   * is enough.
   */
  readonly nodeLinks: readonly Address[];
  /** Secret that authenticates frame connections, shared by all processes of the system. */
  readonly secret: string;
}

const host = z.string().min(1);
const address = z.strictObject({ host, port: z.number().int().min(1).max(65_535) });

export const operatorSettingsSchema: z.ZodType<OperatorSettings> = z.strictObject({
  name: z.string().min(1).default('operator'),
  listen: z.strictObject({ host, port: z.number().int().min(0).max(65_535) }),
  credentials: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        tokenHash: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in hexadecimal'),
      }),
    )
    .min(1),
  platform: address,
  timeline: address.optional(),
  nodeLinks: z.array(address).max(64),
  secret: z.string().min(1),
});
