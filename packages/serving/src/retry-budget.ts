/**
 * This node's part of the retries that all nodes together may send to a service within a window.
 * The fixed allowance is divided by the number of nodes, so the total also holds while nodes cannot
 * reach each other.
 */
export interface RetryBudget {
  /** Records the first attempt of a request. */
  readonly recordFirstSend: (nowMs: number) => void;
  /** Takes one retry from the budget; false if the budget is exhausted. */
  readonly tryTakeRetry: (nowMs: number, nodeCount: number) => boolean;
}

export interface RetryBudgetBounds {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed per window in addition to the ratio, for all nodes together. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Share of the allowance that is used, as other nodes may count a request in another window. */
const usableShare = 0.7;

const dropOlder = (times: number[], oldestMs: number): void => {
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
    const firstSends: number[] = [];
    const retries: number[] = [];
    return {
      recordFirstSend: (nowMs) => {
        firstSends.push(nowMs);
        dropOlder(firstSends, nowMs - bounds.windowMs);
      },
      tryTakeRetry: (nowMs, nodeCount) => {
        dropOlder(firstSends, nowMs - bounds.windowMs);
        dropOlder(retries, nowMs - bounds.windowMs);
        const allowed = bounds.ratio * firstSends.length + bounds.extra / Math.max(1, nodeCount);
        if (retries.length + 1 > usableShare * allowed) {
          return false;
        }
        retries.push(nowMs);
        return true;
      },
    };
  },
};
