/**
 * Assigns the times after which refused requests may be retried.
 *
 * This is for many requests that are refused together. With the same wait for all they would return
 * together and be refused again. Each request therefore gets the time at which memory for it is
 * expected to become free, after the requests refused before it.
 */
export interface RetryAfterSchedule {
  /** Records memory that a finished generation of this node has freed. */
  readonly recordFreedMemory: (tokens: number, nowMs: number) => void;
  /** Reserves the next free time and returns the wait until then, in milliseconds. */
  readonly reserveWaitMs: (tokens: number, nowMs: number, maxWaitMs: number) => number;
}

/** The rate at which memory becomes free is measured over this time. */
const windowMs = 5000;
const minWaitMs = 600;
/** Lower bound of the rate, in tokens per millisecond: one long generation every two seconds. */
const minTokensPerMs = 2;

export const RetryAfterSchedule = {
  create: (): RetryAfterSchedule => {
    const freed: { readonly tokens: number; readonly atMs: number }[] = [];
    let nextAtMs = 0;
    const tokensPerMs = (nowMs: number): number => {
      while ((freed[0]?.atMs ?? nowMs) < nowMs - windowMs) {
        freed.shift();
      }
      let sum = 0;
      for (const { tokens } of freed) {
        sum += tokens;
      }
      return Math.max(minTokensPerMs, sum / windowMs);
    };
    return {
      recordFreedMemory: (tokens, atMs) => {
        freed.push({ tokens, atMs });
      },
      reserveWaitMs: (tokens, nowMs, maxWaitMs) => {
        const atMs = Math.max(nowMs + minWaitMs, nextAtMs);
        nextAtMs = atMs + tokens / tokensPerMs(nowMs);
        return Math.max(0, Math.min(atMs - nowMs, maxWaitMs));
      },
    };
  },
};
