/**
 * The node's part of the repeats that all nodes together may send to a service within a window. The
 * fixed part is divided by the number of nodes, so that the sum holds also for nodes that can't
 * reach each other.
 */
export interface RetryBudget {
  /** Counts a first send. */
  readonly countFirst: (nowMs: number) => void;
  /** Takes one repeat out of the budget; false when it is used up. */
  readonly take: (nowMs: number, nodeCount: number) => boolean;
}

export interface RetryBudgetBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats a window beyond the ratio, over all nodes. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Part of the allowance that is used: other nodes may count a request in another window. */
const usedShare = 0.7;

const dropBefore = (times: number[], oldestMs: number): void => {
  let count = 0;
  for (const time of times) {
    if (time >= oldestMs) {
      break;
    }
    count += 1;
  }
  times.splice(0, count);
};

export const RetryBudget = {
  create: (bounds: RetryBudgetBounds): RetryBudget => {
    const firsts: number[] = [];
    const repeats: number[] = [];
    return {
      countFirst: (nowMs) => {
        firsts.push(nowMs);
        dropBefore(firsts, nowMs - bounds.windowMs);
      },
      take: (nowMs, nodeCount) => {
        dropBefore(firsts, nowMs - bounds.windowMs);
        dropBefore(repeats, nowMs - bounds.windowMs);
        const allowed = bounds.ratio * firsts.length + bounds.extra / Math.max(1, nodeCount);
        if (repeats.length + 1 > usedShare * allowed) {
          return false;
        }
        repeats.push(nowMs);
        return true;
      },
    };
  },
};
