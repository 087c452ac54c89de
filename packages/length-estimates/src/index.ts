export {
  LengthDistribution,
  type Moments,
  type GenerationProgress,
} from './length-distribution.js';
export * from './length-estimates.js';
export * from './memory-curve.js';
