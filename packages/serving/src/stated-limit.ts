/** Requests per second that an upstream states it takes from all nodes together. */
export interface LimitStatement {
  /** Undefined if the upstream states no limit, or no longer. */
  readonly perSecond: number | undefined;
  /** When the statement was received, on the monotonic clock of this node. */
  readonly statedAtMs: number;
}

/**
 * The limit that one upstream states, and how much of it this node has used.
 *
 * This is for upstreams in need under full traffic. A few senders, on which all nodes agree, share
 * the limit, and the other nodes send nothing: with a part for each of many nodes, parts would be
 * far below one request a second, and the first requests of all nodes would exceed the limit.
 */
export interface StatedLimit {
  /** Records a statement unless a newer one is known. Returns whether the limit has changed. */
  readonly update: (statement: LimitStatement) => boolean;
  /** Requests per second for all nodes together; undefined if there is no limit. */
  readonly perSecond: (nowMs: number) => number | undefined;
  /** When the limit was last stated or withdrawn. */
  readonly statedAtMs: () => number;
  /** Records a request that this node sends. */
  readonly recordSend: (nowMs: number) => void;
  /** Requests that this node sent within the last second. */
  readonly recentSends: (nowMs: number) => number;
  /** Counts requests that some node sent before it knew the limit; all senders hold back for them. */
  readonly recordEarlierSends: (count: number) => void;
  /** Whether this node, as one of so many senders, may send another request. */
  readonly allowsSend: (senders: number, nowMs: number) => boolean;
}

const secondMs = 1000;
/** Requests from before the limit was known hold back later ones for this time at most. */
const maxHoldBackMs = 4000;
/**
 * A limit that is not stated again for this time is forgotten, in case the message that withdrew it
 * was lost.
 */
const minLifeMs = 15_000;
const maxLifeMs = 60_000;
/** Requests that a low limit allows within its life. */
const requestsPerLife = 8;

/** Number of nodes that send to an upstream with this limit; each may send one request a second. */
export const countSenders = (perSecond: number, nodeCount: number): number =>
  Math.max(1, Math.min(nodeCount, Math.floor(perSecond)));

const lifeMs = (perSecond: number): number =>
  Math.min(maxLifeMs, Math.max(minLifeMs, (requestsPerLife * secondMs) / perSecond));

export const StatedLimit = {
  create: (): StatedLimit => {
    const sendTimes: number[] = [];
    let statement: LimitStatement = { perSecond: undefined, statedAtMs: -Infinity };
    /** Requests of this node that its part of the limit has not made up for yet. */
    let backlog = 0;
    let backlogAtMs = 0;
    /** Requests of all nodes that their senders have to make up for. */
    let earlierSends = 0;

    const perSecond = (nowMs: number): number | undefined => {
      const stated = statement.perSecond;
      return stated === undefined || nowMs - statement.statedAtMs > lifeMs(stated)
        ? undefined
        : stated;
    };

    const recentSends = (nowMs: number): number => {
      while ((sendTimes[0] ?? nowMs) <= nowMs - secondMs) {
        sendTimes.shift();
      }
      return sendTimes.length;
    };

    return {
      update: (next) => {
        if (next.statedAtMs < statement.statedAtMs) {
          return false;
        }
        const before = perSecond(next.statedAtMs);
        statement = next;
        if (before === undefined) {
          backlog = 0;
          backlogAtMs = next.statedAtMs;
          earlierSends = recentSends(next.statedAtMs);
        }
        return before !== next.perSecond;
      },
      perSecond,
      statedAtMs: () => statement.statedAtMs,
      recordSend: (nowMs) => {
        sendTimes.push(nowMs);
        recentSends(nowMs);
        backlog += 1;
      },
      recentSends,
      recordEarlierSends: (count) => {
        earlierSends += count;
      },
      allowsSend: (senders, nowMs) => {
        const limit = perSecond(nowMs);
        if (limit === undefined) {
          return true;
        }
        const requestsPerMs = limit / secondMs / senders;
        backlog += earlierSends / senders;
        earlierSends = 0;
        const maxBacklog = Math.max(1, requestsPerMs * maxHoldBackMs);
        backlog = Math.min(backlog, maxBacklog) - requestsPerMs * (nowMs - backlogAtMs);
        backlog = Math.max(0, backlog);
        backlogAtMs = nowMs;
        return limit > 0 && backlog + 1 <= Math.max(1, requestsPerMs * secondMs);
      },
    };
  },
};
