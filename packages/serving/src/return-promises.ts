/** Requests of one priority that a node has refused and that are to come back. */
export interface PromisedReturns {
  readonly priority: number;
  readonly tokens: number;
  /** Time until the last of them comes back. */
  readonly withinMs: number;
}

/** A request that is refused. */
export interface RefusedRequest {
  readonly priority: number;
  readonly tokens: number;
  /** Callers don't honour a longer wait. */
  readonly maxWaitMs: number;
}

/** What all nodes know of the engines of a service. */
export interface ReturnRate {
  /** Rate at which all generations free memory. */
  readonly tokensPerMs: number;
  /** Time for which this node doesn't know what others promise. */
  readonly unknownMs: number;
}

/**
 * Assigns the times after which refused requests come back, in step with the memory that generations of
 * all nodes free.
 *
 * This is for bursts in which many nodes refuse at the same time. Each of them promised the same free
 * memory as if it were alone, so that most callers came back in vain, and they come only once.
 */
export interface ReturnPromises {
  /** Promises room to a refused request; returns the wait in milliseconds. */
  readonly promise: (request: RefusedRequest, rate: ReturnRate, nowMs: number) => number;
  /** Promises of this node that are not due yet. */
  readonly own: (nowMs: number) => readonly PromisedReturns[];
  /** Replaces the promises of another node. */
  readonly update: (node: string, promised: readonly PromisedReturns[], nowMs: number) => void;
  readonly forget: (node: string) => void;
}

interface OwnPromise {
  readonly priority: number;
  readonly tokens: number;
  readonly dueMs: number;
}

interface PeerPromises {
  readonly promised: readonly PromisedReturns[];
  readonly atMs: number;
}

/** An earlier return would meet the engines as they are now. */
const minWaitMs = 600;

export const ReturnPromises = {
  create: (random: () => number): ReturnPromises => {
    let ownPromises: readonly OwnPromise[] = [];
    const byNode = new Map<string, PeerPromises>();

    const dropDue = (nowMs: number): void => {
      ownPromises = ownPromises.filter(({ dueMs }) => dueMs > nowMs);
    };

    /** Memory that requests of this priority or a more urgent one will need when they come back. */
    const promisedTokens = (priority: number, nowMs: number): number => {
      dropDue(nowMs);
      let tokens = 0;
      for (const own of ownPromises) {
        tokens += own.priority <= priority ? own.tokens : 0;
      }
      for (const { promised, atMs } of byNode.values()) {
        for (const other of promised) {
          const shareLeft = Math.max(0, 1 - (nowMs - atMs) / Math.max(1, other.withinMs));
          tokens += other.priority <= priority ? other.tokens * shareLeft : 0;
        }
      }
      return tokens;
    };

    return {
      promise: ({ priority, tokens, maxWaitMs }, { tokensPerMs, unknownMs }, nowMs) => {
        const aheadMs = promisedTokens(priority, nowMs) / tokensPerMs;
        // Nodes that don't know of each other's promises yet would assign the same time.
        const waitMs = Math.max(minWaitMs, aheadMs) + random() * unknownMs;
        const dueInMs = Math.max(0, Math.min(waitMs, maxWaitMs));
        ownPromises = [...ownPromises, { priority, tokens, dueMs: nowMs + dueInMs }];
        return dueInMs;
      },
      own: (nowMs) => {
        dropDue(nowMs);
        const sums = new Map<number, PromisedReturns>();
        for (const { priority, tokens, dueMs } of ownPromises) {
          const before = sums.get(priority);
          sums.set(priority, {
            priority,
            tokens: (before?.tokens ?? 0) + tokens,
            withinMs: Math.max(before?.withinMs ?? 0, dueMs - nowMs),
          });
        }
        return [...sums.values()];
      },
      update: (node, promised, atMs) => {
        byNode.set(node, { promised, atMs });
      },
      forget: (node) => {
        byNode.delete(node);
      },
    };
  },
};
