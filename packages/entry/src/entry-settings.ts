import { z } from 'zod';

const port = z.int().min(0).max(65_535);
const id = z.string().min(1).max(100);

const minSecretCharacters = 16;

/** Settings of the data path of a node. */
export const dataPathSettings = {
  nodeId: id,
  dataCentre: id,
  region: id,
  /** Address that callers and other nodes use. */
  host: z.string().min(1),
  /** Port for callers; 0 selects a free port. */
  callerPort: port,
  /** Shared by the nodes; signs tickets and resume tokens. */
  nodeSecret: z.string().min(minSecretCharacters),
  /**
   * Time for which a leaving node still accepts new work: the lifetime of an address answer plus 5
   * s.
   */
  leaveAcceptMs: z.int().min(0).default(35_000),
  /** Maximum wait for open requests after that. */
  drainMs: z.int().min(0).default(600_000),
  /** Idle time after which the stream of an engine is treated as stalled. */
  engineIdleMs: z.int().min(100).default(10_000),
  /** Timeout of a plain call at the upstream. */
  callTimeoutMs: z.int().min(100).default(30_000),
  statsd: z.strictObject({ host: z.string(), port }).optional(),
} as const;

export type DataPathSettings = z.infer<z.ZodObject<typeof dataPathSettings>>;

const address = z.strictObject({ host: z.string().min(1), port });

/** The JSON settings file of `zinniagrade-entry`. */
export const entrySettings = z.strictObject({
  ...dataPathSettings,
  /** Port for other nodes; 0 selects a free port. */
  linkPort: port,
  /** Link addresses of some other nodes, through which this node joins. */
  seeds: z.array(address).default([]),
  /** The platform's key-value store, VM list and weight store. */
  platform: address,
  /** Timeline collector; absent in a deployment without one. */
  timeline: address.optional(),
});

export type EntrySettings = z.infer<typeof entrySettings>;
