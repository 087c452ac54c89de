/** Upper bounds for data of single requests, so that no peer can exhaust the process's memory. */
export interface MemoryLimits {
  /** Bodies of all requests that are being read or served. */
  readonly maxRequestBodyBytes: number;
  /** Response of an upstream that is buffered as a whole. */
  readonly maxResponseBytes: number;
  /**
   * All responses that are buffered or not read by their callers at the same time, without the
   * first part of each that is buffered.
   */
  readonly maxResponsesBytes: number;
  /** One event of a stream. */
  readonly maxEventBytes: number;
  /** Events of one stream that its caller has not read yet. */
  readonly maxUnsentBytes: number;
}

const requestBodyShare = 0.2;
const responseShare = 0.05;
const responsesShare = 0.2;
const eventShare = 1 / 512;
/** Hundreds of streams are open on one node at the same time. */
const unsentShare = 1 / 1024;

export const MemoryLimits = {
  /** Derives the limits from the memory of the process, in bytes. */
  create: (memoryBytes: number): MemoryLimits => ({
    maxRequestBodyBytes: Math.floor(memoryBytes * requestBodyShare),
    maxResponseBytes: Math.floor(memoryBytes * responseShare),
    maxResponsesBytes: Math.floor(memoryBytes * responsesShare),
    maxEventBytes: Math.floor(memoryBytes * eventShare),
    maxUnsentBytes: Math.floor(memoryBytes * unsentShare),
  }),
};
