import type { FleetMember } from './fleet.js';

/** Limit on the requests per second that all nodes together may send to a cold upstream. */
export interface ColdLimit {
  /** Rate that a cold upstream can serve; 0 for services without a cold start. */
  readonly perSecond: number;
  /** The limit per second is `perSecond * excess + slack`. */
  readonly excess: number;
  readonly slack: number;
}

/**
 * The limit holds for any second at the upstream. Requests sent within this time may arrive within
 * one second, as connections and busy nodes delay some of them.
 */
export const coldWindowMs = 1250;

/** Whole requests that all nodes together may send within a window. */
export const totalColdSends = ({ perSecond, excess, slack }: ColdLimit): number =>
  Math.max(1, Math.floor(perSecond * excess + slack));

/**
 * The part of a node that is `rank`th in an order on which all nodes agree; 0 is the first. The parts
 * of all nodes add up to the total, so that with more nodes than requests the last ones get none.
 */
export const coldPart = (total: number, nodeCount: number, rank: number): number =>
  Math.floor(total / nodeCount) + (rank < total % nodeCount ? 1 : 0);

/** Drops times that no window reaches back to any more. */
const dropEarlierSends = (sends: number[], nowMs: number): void => {
  while ((sends[0] ?? nowMs) <= nowMs - coldWindowMs) {
    sends.shift();
  }
};

/**
 * Whether this node stays within its part of the limit with another request to a cold upstream.
 *
 * This is for upstreams that restart cold under full traffic. Streams with a copy at the upstream
 * count like requests, as they may continue there at any time.
 */
export const isBelowColdPart = (member: FleetMember, part: number, nowMs: number): boolean => {
  dropEarlierSends(member.coldSends, nowMs);
  let copies = 0;
  for (const { isBackup } of member.ownRuns.values()) {
    copies += isBackup ? 1 : 0;
  }
  return member.coldSends.length + copies < part;
};

/** Records a request sent to an upstream. A warm one may turn cold within the window. */
export const recordColdSend = (member: FleetMember, nowMs: number): void => {
  dropEarlierSends(member.coldSends, nowMs);
  member.coldSends.push(nowMs);
};
