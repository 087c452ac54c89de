import type { FleetMember } from './fleet.js';

/** Requests a second that a cold upstream may get from all nodes together. */
export interface ColdBounds {
  /** Rate that the upstream bears; 0 where its service has no cold start. */
  readonly perSecond: number;
  /** The bound is this many times the rate, and `slack` more. */
  readonly excess: number;
  readonly slack: number;
}

const windowMs = 1000;
/** Part of the bound that is used: nodes count their seconds at different times. */
const usedShare = 0.8;

/**
 * Load pattern: upstreams that come back cold under full traffic. Each node keeps to its part of
 * the bound, so that the sum holds without a word between nodes. One request at a time is always
 * allowed, as there may be more nodes than requests in the bound.
 */
export const bearsMore = (
  member: FleetMember,
  bounds: ColdBounds,
  nodeCount: number,
  nowMs: number,
): boolean => {
  if (bounds.perSecond <= 0 || member.coldUntilMs <= nowMs) {
    return true;
  }
  const total = bounds.perSecond * bounds.excess + bounds.slack;
  const part = Math.max(1, Math.floor((usedShare * total) / Math.max(1, nodeCount)));
  let recent = 0;
  for (const sentAtMs of member.coldSends) {
    recent += sentAtMs > nowMs - windowMs ? 1 : 0;
  }
  return recent < part;
};

/** Counts a send to a cold upstream. */
export const noteColdSend = (member: FleetMember, nowMs: number): void => {
  if (member.coldUntilMs <= nowMs) {
    member.coldSends.length = 0;
    return;
  }
  while ((member.coldSends[0] ?? nowMs) <= nowMs - windowMs) {
    member.coldSends.shift();
  }
  member.coldSends.push(nowMs);
};
