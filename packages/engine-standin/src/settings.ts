import { z } from 'zod';

const positiveNumber = z.number().positive();

const modelSchema = z
  .strictObject({
    memoryTokens: positiveNumber,
    maxBatch: positiveNumber,
    stepBaseMs: positiveNumber,
    stepPerStreamMs: z.number().min(0),
    stepPerPrefillTokenMs: z.number().min(0),
    prefillTokensPerStep: positiveNumber,
    prefixCacheTokens: z.number().min(0),
    prefixBlockTokens: positiveNumber,
    coldSlots: z.number().int().positive(),
    coldFactor: positiveNumber,
    warmUpMs: z.number().min(0),
    startsCold: z.boolean(),
    version: z.string(),
    loadLagMs: z.number().min(0),
    loadEveryMs: z.number().min(0),
  })
  .partial();

/** Settings of the engine stand-in. Times are in milliseconds. */
export const engineStandInSettingsSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).max(65_535),
  /** Fields of `EngineModelSettings`. */
  model: modelSchema.default({}),
  /**
   * Range of the output length of a prompt without `tokens=N`; the prompt's hash selects the value.
   */
  shortestOutput: z.number().int().positive().default(20),
  longestOutput: z.number().int().positive().default(200),
  /**
   * Delay of cache events; those whose sequence number is a multiple of `cacheEventGap` are lost.
   */
  cacheEventLagMs: z.number().min(0).default(500),
  cacheEventGap: z.number().int().min(2).default(10),
  /**
   * Whether orders with an old fencing token are refused, and the credential that orders must
   * carry.
   */
  refusesOldFencingTokens: z.boolean().default(true),
  orderCredential: z.string().optional(),
  /** Time from a load order until the engine serves the new version, in a cold state. */
  loadMs: z.number().min(0).default(200),
  seed: z.number().int().default(1),
});

export type EngineStandInSettings = z.infer<typeof engineStandInSettingsSchema>;

/**
 * One injected fault. `refuse`, `reset-before` and `fail-at` apply to the next `count` generations:
 * `reset-before` closes the connection before any work, `fail-at` fails the generation at token
 * `at`. `repeat-line` to `mute` apply to the line with index `at` of the next `count` generations
 * or resumptions: `cut` closes the connection before that line, `mute` sends nothing from that line
 * on. `leave` refuses all new generations. After `fail-share`, the given share of new generations
 * fails at the fourth token.
 */
export const faultSchema = z.strictObject({
  kind: z.enum([
    'clear',
    'stall',
    'turn-cold',
    'slow',
    'leave',
    'fail-share',
    'refuse',
    'reset-before',
    'fail-at',
    'repeat-line',
    'drop-line',
    'foreign-line',
    'cut',
    'mute',
  ]),
  at: z.number().int().min(0).default(0),
  count: z.number().int().positive().default(1),
  /** Duration of a `stall`. */
  forMs: z.number().positive().default(1_000),
  /** Factor on the duration of a step for `slow`. */
  factor: positiveNumber.default(1),
  share: z.number().min(0).max(1).default(0),
});

export type Fault = z.infer<typeof faultSchema>;

export const generationSchema = z.strictObject({
  generation: z.string().min(1),
  service: z.string(),
  model: z.string(),
  version: z.string(),
  prompt: z.string(),
  maxTokens: z.number().int().positive(),
  priority: z.number(),
  attempt: z.number().int().min(0),
});

export type GenerationRequest = z.infer<typeof generationSchema>;

export const orderSchema = z.strictObject({
  order: z.enum(['load', 'unload', 'role']),
  model: z.string(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  role: z.string().optional(),
  fencingToken: z.number().int(),
  credential: z.string().optional(),
});

export type Order = z.infer<typeof orderSchema>;
