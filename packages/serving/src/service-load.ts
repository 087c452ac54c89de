import type { FleetMember } from './fleet.js';
import { ownUse, type UpstreamUse } from './peer-use.js';
import type { ServiceLoad } from './upstream.js';

/** The stated pace changes many times a second, so that it is worth nothing after this time. */
const loadLifeMs = 1000;
/** Bounds of the stated pace, so that one odd statement neither draws nor bars all requests. */
const minPace = 0.2;
const maxPace = 20;

/** Used where the work time is not known. */
const minRequestLifeMs = 20;

type PeerUseOf = (upstream: string) => UpstreamUse;

/** Share to which a statement still counts that is worth nothing after `lifeMs`. */
const freshness = (member: FleetMember, lifeMs: number, nowMs: number): number =>
  member.serviceLoad === undefined
    ? 0
    : Math.min(1, Math.max(0, 1 - (nowMs - member.serviceLoadAtMs) / lifeMs));

const announcedRequests = (member: FleetMember, peerUse: PeerUseOf): number =>
  ownUse(member).requests + peerUse(member.upstream.id).requests;

/**
 * Records what an upstream has stated at a time. The nodes announce the same requests, so that only
 * those that were not announced then are counted beside the announced ones.
 */
export const recordServiceLoad = (
  member: FleetMember,
  load: ServiceLoad,
  peerUse: PeerUseOf,
  atMs: number,
): void => {
  if (atMs < member.serviceLoadAtMs && member.serviceLoad !== undefined) {
    return;
  }
  member.serviceLoad = load;
  member.serviceLoadAtMs = atMs;
  const stated = load.running + load.waiting;
  member.unannouncedRequests = Math.max(0, stated - announcedRequests(member, peerUse));
};

/** How many times longer than usual work takes at the upstream. */
export const paceOf = (member: FleetMember, nowMs: number): number => {
  const pace = Math.min(maxPace, Math.max(minPace, member.serviceLoad?.pace ?? 1));
  return 1 + (pace - 1) * freshness(member, loadLifeMs, nowMs);
};

/**
 * Stated requests that nobody has announced count for one work time, as they are done then. In replays
 * of 500 calls a second to four upstreams, nodes that counted them for a second avoided one upstream
 * together and met at another: 39% of the calls were late, and 7% with one work time.
 */
const requestLifeMs = (member: FleetMember, nowMs: number): number =>
  Math.min(loadLifeMs, Math.max(minRequestLifeMs, member.latencyMs * paceOf(member, nowMs)));

/** Requests that run or wait at the upstream, of all nodes. */
export const requestsAt = (member: FleetMember, peerUse: PeerUseOf, nowMs: number): number =>
  announcedRequests(member, peerUse) +
  member.unannouncedRequests * freshness(member, requestLifeMs(member, nowMs), nowMs);

const slotsOf = ({ serviceLoad, upstream }: FleetMember): number =>
  Math.max(1, serviceLoad?.slots ?? upstream.slots);

/** Requests for each slot, with one more; above 1 it would wait. */
export const occupancy = (member: FleetMember, peerUse: PeerUseOf, nowMs: number): number =>
  (requestsAt(member, peerUse, nowMs) + 1) / slotsOf(member);

/** Whether one more request would have to wait for a slot. */
export const isFull = (member: FleetMember, peerUse: PeerUseOf, nowMs: number): boolean =>
  occupancy(member, peerUse, nowMs) > 1;

/** Expected time to the answer of one more request; undefined where nothing has been measured. */
export const expectedAnswerMs = (
  member: FleetMember,
  peerUse: PeerUseOf,
  nowMs: number,
): number | undefined =>
  member.latencyMs === 0
    ? undefined
    : member.latencyMs * paceOf(member, nowMs) * Math.max(1, occupancy(member, peerUse, nowMs));

/**
 * The usual work time of a request, from the time to its answer: without the wait for a slot and at
 * the usual pace. `occupancyBefore` is the occupancy when the request was sent.
 */
export const workTimeMs = (
  member: FleetMember,
  tookMs: number,
  occupancyBefore: number,
  nowMs: number,
): number => tookMs / Math.max(1, occupancyBefore) / paceOf(member, nowMs);

/** Share of the objective after which a request is hedged if nothing is known of its upstream. */
const hedgeDelayGoalShare = 0.55;
/** A request that takes longer than expected by this factor is stuck. */
const hedgeDelayFactor = 1.5;

/**
 * Time after which an idempotent request is sent a second time. Where its upstream is slow, the
 * answer comes later without a fault; a second request would only add to the load that makes it late.
 */
export const hedgeDelayMs = (goalMs: number, expectedMs: number | undefined): number =>
  Math.min(goalMs, Math.max(goalMs * hedgeDelayGoalShare, (expectedMs ?? 0) * hedgeDelayFactor));
