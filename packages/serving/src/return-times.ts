/**
 * Times at which refused requests may come back. Load pattern: many requests are refused together;
 * with one wait for all they would come back together and be refused again. Each gets the time at
 * which memory for it becomes free after those that were refused before.
 */
export interface ReturnTimes {
  /** Notes memory that a generation of this node has freed. */
  readonly noteFreed: (tokens: number, nowMs: number) => void;
  /** Takes the next free time, in milliseconds from now. */
  readonly take: (tokens: number, nowMs: number, longestMs: number) => number;
}

/** Memory freed within this time gives the rate. */
const windowMs = 5000;
const shortestWaitMs = 600;
/** Rate before anything was freed, in tokens a millisecond: one long generation every two seconds. */
const startRate = 2;

export const ReturnTimes = {
  create: (): ReturnTimes => {
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
      return Math.max(startRate, sum / windowMs);
    };
    return {
      noteFreed: (tokens, atMs) => {
        freed.push({ tokens, atMs });
      },
      take: (tokens, nowMs, longestMs) => {
        const atMs = Math.max(nowMs + shortestWaitMs, nextAtMs);
        nextAtMs = atMs + tokens / tokensPerMs(nowMs);
        return Math.max(0, Math.min(atMs - nowMs, longestMs));
      },
    };
  },
};
