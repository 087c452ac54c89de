/** Validity of a limit, counted from the moment at which the node sent the demand. */
export const limitValidMs = 2000;
/** Interval between demands, and between polls of an upstream's load. */
export const creditIntervalMs = 500;
/**
 * A new owner grants no limits for this time: limits of the previous owner lapse within 2 s, and a
 * previous owner that still runs may take up to 1 s to learn that it has lost the ownership.
 */
export const takeoverWaitMs = 3000;
/** A longer gap between two events on the monotonic clock means that the process was frozen. */
export const freezeGapMs = 1000;
/** Number of recent answers examined to detect that a warm upstream has turned cold. */
export const answerWindowSize = 8;
/** An answer is slow if its latency exceeds this multiple of the learned median. */
export const slowLatencyFactor = 4;
/**
 * A completion counts towards the ramp if its latency is at most this multiple of the learned
 * median.
 */
export const normalLatencyFactor = 2;
/** Nodes use fallback shares during a takeover and the first two demand intervals after it. */
export const fallbackDurationMs = takeoverWaitMs + 2 * creditIntervalMs;
