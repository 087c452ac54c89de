import { z } from 'zod';

const vmSchema = z.strictObject({
  id: z.string().min(1),
  host: z.string(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
});

export const vmsSchema = z.strictObject({ vms: z.array(vmSchema) });

/** Settings of the platform stand-in. Rates are calls per second, times milliseconds. */
export const settingsSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).max(65_535),
  writesPerSecond: z.number().positive().default(300),
  readsPerSecond: z.number().positive().default(2_000),
  /** Time until a change of the VM list shows in `GET /vms`. */
  vmListLagMs: z.number().min(0).default(5_000),
  vms: z.array(vmSchema).default([]),
  /** Duration of one transfer from the weight store, and maximum number of concurrent transfers. */
  weightTransferMs: z.number().positive().default(10_000),
  weightTransfersAtOnce: z.number().int().positive().default(4),
  /** Transfers that would have to wait longer are refused with 429. */
  weightWaitMaxMs: z.number().min(0).default(30_000),
});

export type PlatformStandInSettings = z.infer<typeof settingsSchema>;

/** Injected faults of the whole platform; each stays in force until it is set again. */
export const faultsSchema = z.strictObject({
  /** `refuse` closes every connection, `hang` never answers. */
  outage: z.enum(['none', 'refuse', 'hang']).default('none'),
  /** Delay added to every call. */
  slowMs: z.number().min(0).default(0),
  /** Number of next writes that take effect but whose connections close without a reply. */
  loseReplies: z.number().int().min(0).default(0),
  /** Only writes to keys with this prefix lose their replies. */
  loseRepliesPrefix: z.string().default(''),
});

export const putSchema = z.strictObject({
  value: z.unknown(),
  ifRevision: z.number().int().min(0).optional(),
  leaseId: z.string().optional(),
});

export const leaseSchema = z.strictObject({ ttlMs: z.number().positive() });
