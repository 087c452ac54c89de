import type { MemoryCurve } from '@zinniagrade/length-estimates';
import {
  LengthEstimates,
  emptyCurve,
  learnLength,
  lengthKey,
  memoryCurve,
} from '@zinniagrade/length-estimates';
import type { Service } from '@zinniagrade/types';

/** How far one generation has come, in tokens. */
export interface StreamLength {
  readonly service: Service;
  readonly promptTokens: number;
  readonly tokensSoFar: number;
  readonly maxTokens: number;
}

/** Progress of a generation since it was last learned from. */
export interface LengthProgress {
  readonly fromTokens: number;
  readonly toTokens: number;
  /** True when the generation came to its own end. */
  readonly ended: boolean;
}

/** Expected memory of generations. */
export interface MemoryModel {
  readonly curveOf: (stream: StreamLength) => MemoryCurve;
  readonly learn: (service: Service, progress: LengthProgress) => void;
}

const estimatedCharactersPerToken = 4;

/** Tokens of a prompt, without the engine's own tokenizer. */
export const estimatePromptTokens = (prompt: string): number =>
  Math.ceil(prompt.length / estimatedCharactersPerToken);

/** Prompt and the longest output that the request allows, from start to end. */
export const worstCaseMemoryModel: MemoryModel = {
  curveOf: ({ promptTokens, maxTokens }) => emptyCurve.map(() => promptTokens + maxTokens),
  learn: () => undefined,
};

/** Expected memory by the lengths that were seen, for each service and model. */
export const createLearnedMemoryModel = (): MemoryModel => {
  let estimates = LengthEstimates.create();
  return {
    curveOf: ({ service, ...stream }) =>
      memoryCurve(estimates, lengthKey(service.id, service.model), stream),
    learn: (service, progress) => {
      estimates = learnLength(estimates, lengthKey(service.id, service.model), progress);
    },
  };
};
