import type { MemoryCurve } from '@zinniagrade/length-estimates';
import {
  LengthEstimates,
  emptyCurve,
  learnLength,
  lengthKey,
  memoryCurve,
} from '@zinniagrade/length-estimates';
import type { Service } from '@zinniagrade/types';

/** Progress of a generation, in tokens. */
export interface StreamLength {
  readonly service: Service;
  readonly promptTokens: number;
  readonly tokensSoFar: number;
  readonly maxTokens: number;
}

/** Progress of a generation since the model last learned from it. */
export interface LengthProgress {
  readonly fromTokens: number;
  readonly toTokens: number;
  /** True if the engine ended the generation, so that its final length is known. */
  readonly ended: boolean;
}

/** Predicts the memory of generations. */
export interface MemoryModel {
  readonly curveOf: (stream: StreamLength) => MemoryCurve;
  readonly learn: (service: Service, progress: LengthProgress) => void;
}

const estimatedCharactersPerToken = 4;

/** Estimates the number of tokens of a prompt without the engine's tokenizer. */
export const estimatePromptTokens = (prompt: string): number =>
  Math.ceil(prompt.length / estimatedCharactersPerToken);

/** Assumes the prompt and the longest allowed output for the whole generation. */
export const worstCaseMemoryModel: MemoryModel = {
  curveOf: ({ promptTokens, maxTokens }) => emptyCurve.map(() => promptTokens + maxTokens),
  learn: () => undefined,
};

/** Predicts memory from the lengths observed so far, per service and model. */
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
