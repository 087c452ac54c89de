import type { FleetMember } from './fleet.js';

/** Limit on the requests per second that all nodes together may send to a cold upstream. */
export interface ColdLimit {
  /** Rate that a cold upstream can serve; 0 for services without a cold start. */
  readonly perSecond: number;
  /** The limit per second is `perSecond * excess + slack`. */
  readonly excess: number;
  readonly slack: number;
}

const windowMs = 1000;
/** Share of the limit that is used, because the one-second windows of the nodes are not aligned. */
const usableShare = 0.8;

/**
 * Whether this node may send another request to the upstream.
 *
 * This is for upstreams that restart cold under full traffic. Each node stays within its part of
 * the limit, so the total holds without coordination between nodes. A node may always send at least
 * one request per second, as there may be more nodes than the limit has requests.
 */
export const isBelowColdLimit = (
  member: FleetMember,
  limit: ColdLimit,
  nodeCount: number,
  nowMs: number,
): boolean => {
  if (limit.perSecond <= 0 || member.coldUntilMs <= nowMs) {
    return true;
  }
  const totalLimit = limit.perSecond * limit.excess + limit.slack;
  const nodeLimit = Math.max(1, Math.floor((usableShare * totalLimit) / Math.max(1, nodeCount)));
  let recentSends = 0;
  for (const sentAtMs of member.coldSends) {
    recentSends += sentAtMs > nowMs - windowMs ? 1 : 0;
  }
  return recentSends < nodeLimit;
};

/** Records a request sent to an upstream, if that is cold. */
export const recordColdSend = (member: FleetMember, nowMs: number): void => {
  if (member.coldUntilMs <= nowMs) {
    member.coldSends.length = 0;
    return;
  }
  while ((member.coldSends[0] ?? nowMs) <= nowMs - windowMs) {
    member.coldSends.shift();
  }
  member.coldSends.push(nowMs);
};
