import { z } from 'zod';

/** Settings of the collector process. */
export interface CollectorSettings {
  readonly name: string;
  readonly listen: { readonly host: string; readonly port: number };
  /** Secret that authenticates frame connections, shared by all processes of the system. */
  readonly secret: string;
  /** Number of events kept for followers that connect later. */
  readonly keepEvents: number;
}

export const collectorSettingsSchema: z.ZodType<CollectorSettings> = z.strictObject({
  name: z.string().min(1).default('timeline'),
  listen: z.strictObject({ host: z.string().min(1), port: z.number().int().min(0).max(65_535) }),
  secret: z.string().min(1),
  keepEvents: z.number().int().min(1).max(1_000_000).default(10_000),
});
