import type { Milliseconds } from '@zinniagrade/types';

/** Capacity and speed of one engine. Times are in milliseconds, lengths and memory in tokens. */
export interface EngineModelSettings {
  /** Memory for the prompts and generated tokens of the running batch. */
  readonly memoryTokens: number;
  /** Maximum number of streams in the batch. */
  readonly maxBatch: number;
  /** Base duration of a step, and what each stream in the batch and each prefilled token adds. */
  readonly stepBaseMs: Milliseconds;
  readonly stepPerStreamMs: Milliseconds;
  readonly stepPerPrefillTokenMs: Milliseconds;
  /** Maximum number of tokens prefilled in one step. */
  readonly prefillTokensPerStep: number;
  readonly prefixCacheTokens: number;
  readonly prefixBlockTokens: number;
  /** Maximum number of streams in the batch of a cold engine; with more, the whole batch fails. */
  readonly coldSlots: number;
  /** Factor on the duration of a step while the engine is cold. */
  readonly coldFactor: number;
  /** Busy time after which a cold engine is warm. */
  readonly warmUpMs: Milliseconds;
  readonly startsCold: boolean;
  readonly version: string;
  /** Minimum age of a load report when it is returned, and minimum time between two reports. */
  readonly loadLagMs: Milliseconds;
  readonly loadEveryMs: Milliseconds;
}

export const defaultEngineModelSettings: EngineModelSettings = {
  memoryTokens: 40_000,
  maxBatch: 32,
  stepBaseMs: 20,
  stepPerStreamMs: 0.5,
  stepPerPrefillTokenMs: 0.02,
  prefillTokensPerStep: 1024,
  prefixCacheTokens: 8_000,
  prefixBlockTokens: 64,
  coldSlots: 1,
  coldFactor: 8,
  warmUpMs: 4_000,
  startsCold: false,
  version: 'v1',
  loadLagMs: 500,
  loadEveryMs: 250,
};
