import type { Random } from '@zinniagrade/clock';
import type { Milliseconds } from '@zinniagrade/types';
import {
  declareGone,
  detectFreeze,
  probeGoneMember,
  suspectSilentNeighbours,
} from './failure-detector.js';
import { encodeHeardList, mergeHeardList, updateQuorumMembers } from './isolation.js';
import { answerExchange, requestDifferences, refute } from './member-exchange.js';
import { type MembershipState, compareMembers, heartbeatIntervalMs } from './membership-state.js';
import {
  type MembershipEvent,
  type MembershipStep,
  chain,
  applyMembers,
  applyAndFlood,
  sendMembers,
  memberUpdate,
} from './membership-step.js';

const heartbeatJitterRatio = 0.2;
const exchangeIntervalMs: Milliseconds = 1000;
/** A mismatch on a single heartbeat is usually due to an update that is still being flooded. */
const mismatchesBeforeExchange = 3;

const sendHeartbeats = (
  state: MembershipState,
  now: Milliseconds,
  confirmedAt: Milliseconds | undefined,
  random: Random,
): MembershipStep => {
  if (now < state.nextHeartbeatAt) {
    return { state, actions: [] };
  }
  const latenessMs = Math.min(now - state.nextHeartbeatAt, heartbeatIntervalMs / 2);
  // If all nodes sent heartbeats in phase, a report would travel only one link per interval.
  const jitterMs = heartbeatIntervalMs * heartbeatJitterRatio * (random() - 0.5);
  return {
    state: { ...state, nextHeartbeatAt: now + heartbeatIntervalMs - latenessMs + jitterMs },
    actions: [
      {
        kind: 'heartbeat',
        to: state.neighbours,
        heard: encodeHeardList(state, now, confirmedAt),
        membersHash: state.membersHash,
      },
    ],
  };
};

const onHeartbeat = (
  state: MembershipState,
  { from, message, transitMs }: Extract<MembershipEvent, { kind: 'heartbeat' }>,
  now: Milliseconds,
): MembershipStep => {
  const known = state.members[from];
  if (known === undefined) {
    return { state, actions: [requestDifferences(state, from)] };
  }
  if (message.incarnation < known.member.incarnation) {
    return { state, actions: sendMembers(from, [known.member]) };
  }
  const heartbeatSentAt = Math.max(state.lastHeartbeatAt[from] ?? 0, now - transitMs);
  let next: MembershipState = {
    ...state,
    lastHeartbeatAt: { ...state.lastHeartbeatAt, [from]: heartbeatSentAt },
  };
  if (known.member.region === state.self.region) {
    next = mergeHeardList(next, from, message.heard, now, transitMs);
  }
  const differs = message.membersHash !== state.membersHash;
  const mismatches = differs ? (state.hashMismatches[from] ?? 0) + 1 : 0;
  const isDue = mismatches >= mismatchesBeforeExchange && now >= state.nextExchangeAt;
  const mismatchCount = isDue ? 0 : mismatches;
  if (mismatchCount !== (state.hashMismatches[from] ?? 0)) {
    next = { ...next, hashMismatches: { ...next.hashMismatches, [from]: mismatchCount } };
  }
  // Tells a member that it is believed to be gone, so that it can refute that.
  const statusNotice = known.member.status === 'gone' ? sendMembers(from, [known.member]) : [];
  return isDue
    ? {
        state: { ...next, nextExchangeAt: now + exchangeIntervalMs },
        actions: [...statusNotice, requestDifferences(next, from)],
      }
    : { state: next, actions: statusNotice };
};

const onUpdate = (
  state: MembershipState,
  { from, message }: Extract<MembershipEvent, { kind: 'update' }>,
  now: Milliseconds,
): MembershipStep => {
  const newerMembers = message.members.filter((member) => {
    const before = state.members[member.nodeId]?.member;
    return (
      member.nodeId !== state.self.nodeId &&
      (before === undefined ? member.status !== 'gone' : compareMembers(member, before) > 0)
    );
  });
  // A joining node receives the whole table and does not flood it: its neighbours have it already.
  const applied = state.joined
    ? applyAndFlood(state, newerMembers, now, { except: from })
    : applyMembers({ ...state, joined: newerMembers.length > 0 }, newerMembers, now);
  const refuted = chain(applied, (next) => refute(next, message.members, now));
  return chain(refuted, (next) => ({ state: next, actions: answerExchange(next, from, message) }));
};

const onTick = (
  state: MembershipState,
  confirmedAt: Milliseconds | undefined,
  now: Milliseconds,
  random: Random,
): MembershipStep => {
  let step = suspectSilentNeighbours(state, now);
  step = chain(step, (next) => declareGone(next, now));
  step = chain(step, (next) => probeGoneMember(next, now, random));
  step = chain(step, (next) => sendHeartbeats(next, now, confirmedAt, random));
  return { ...step, state: updateQuorumMembers(step.state, now, confirmedAt) };
};

/**
 * Applies one event to a node's membership. Pure; `now` is on the node's monotonic clock. Needs a
 * tick at least every 200 ms, because a gap of more than 1 s between events counts as a freeze.
 */
export const stepMembership = (
  state: MembershipState,
  event: MembershipEvent,
  now: Milliseconds,
  random: Random,
): MembershipStep =>
  chain(detectFreeze(state, now), (current) => {
    switch (event.kind) {
      case 'tick':
        return onTick(current, event.confirmedAt, now, random);
      case 'heartbeat':
        return onHeartbeat(current, event, now);
      case 'update':
        return onUpdate(current, event, now);
      case 'link-up':
        return {
          state: current,
          actions: current.joined
            ? [requestDifferences(current, event.from)]
            : [
                {
                  kind: 'send',
                  to: event.from,
                  message: { ...memberUpdate([current.self]), exchange: true },
                },
              ],
        };
      case 'leave':
        return current.self.status === 'leaving'
          ? { state: current, actions: [] }
          : applyAndFlood(current, [{ ...current.self, status: 'leaving' }], now);
    }
  });
