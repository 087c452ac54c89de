import type { Random } from '@zinniagrade/clock';
import type { Member, Milliseconds, NodeId } from '@zinniagrade/types';
import { memberIndexOf } from './member-index.js';
import { type MembershipState, allMembers, removeMember } from './membership-state.js';
import { type MembershipStep, applyAndFlood } from './membership-step.js';

/** A neighbour is suspected after three missed heartbeats. */
export const suspectAfterMs: Milliseconds = 1500;
/** Time that a suspect has to refute before the node that raised the suspicion declares it gone. */
export const goneAfterMs: Milliseconds = 1500;
/** The same at all other nodes; longer, as it matters only if the node that raised it dies. */
const goneAfterRemoteSuspicionMs: Milliseconds = 4000;
/**
 * The same at a node that hears from none of its neighbours, which is more likely to be cut off
 * itself. Unless all live members are its neighbours, it declares nobody gone, because every member
 * would have to refute that once the connection is back.
 */
const goneWhenAllSilentMs: Milliseconds = 10_000;
/** A longer gap between events means that the process was frozen; its grants may have expired. */
export const freezeThresholdMs: Milliseconds = 1000;
const meanProbeIntervalMs: Milliseconds = 5000;
/** Members that are gone are remembered and probed, so that partitioned regions reconnect. */
const goneRetentionMs: Milliseconds = 2 * 3_600_000;
const maxRetainedGone = 1024;
const maxBackoffMs: Milliseconds = 30_000;

const isSilent = (state: MembershipState, id: NodeId, now: Milliseconds): boolean =>
  now - (state.lastHeartbeatAt[id] ?? now) > suspectAfterMs;

export const suspectSilentNeighbours = (
  state: MembershipState,
  now: Milliseconds,
): MembershipStep => {
  const suspects: Member[] = [];
  const backoffs = { ...state.backoffs };
  for (const id of state.neighbours) {
    const member = state.members[id]?.member;
    if (
      member === undefined ||
      (member.status !== 'alive' && member.status !== 'leaving') ||
      !isSilent(state, id, now) ||
      now < (backoffs[id]?.until ?? 0)
    ) {
      continue;
    }
    const before = backoffs[id];
    const isRecent = before !== undefined && now - before.until < maxBackoffMs;
    const durationMs = Math.min(maxBackoffMs, 2 * (isRecent ? before.durationMs : suspectAfterMs));
    backoffs[id] = { until: now + durationMs, durationMs };
    suspects.push({ ...member, status: member.status === 'leaving' ? 'gone' : 'suspect' });
  }
  return suspects.length === 0
    ? { state, actions: [] }
    : applyAndFlood({ ...state, backoffs }, suspects, now, { suspectedLocally: true });
};

export const declareGone = (state: MembershipState, now: Milliseconds): MembershipStep => {
  const { suspects } = memberIndexOf(state);
  if (suspects.length === 0) {
    return { state, actions: [] };
  }
  const allNeighboursSilent =
    state.neighbours.length > 0 && state.neighbours.every((id) => isSilent(state, id, now));
  const isFullMesh = allMembers(state).every(
    ({ nodeId, status }) =>
      status === 'gone' || nodeId === state.self.nodeId || state.neighbours.includes(nodeId),
  );
  const gone: Member[] = [];
  if (allNeighboursSilent && !isFullMesh) {
    return { state, actions: [] };
  }
  for (const { member, since, suspectedLocally } of suspects) {
    const timeoutMs = allNeighboursSilent
      ? goneWhenAllSilentMs
      : suspectedLocally
        ? goneAfterMs
        : goneAfterRemoteSuspicionMs;
    if (now - since > timeoutMs) {
      gone.push({ ...member, status: 'gone' });
    }
  }
  return applyAndFlood(state, gone, now);
};

const dropExpiredGone = (state: MembershipState, now: Milliseconds): MembershipState => {
  const gone = [...memberIndexOf(state).gone].sort((a, b) => b.since - a.since);
  let next = state;
  for (const [index, { member, since }] of gone.entries()) {
    if (index >= maxRetainedGone || now - since > goneRetentionMs) {
      next = removeMember(next, member.nodeId);
    }
  }
  return next;
};

export const probeGoneMember = (
  state: MembershipState,
  now: Milliseconds,
  random: Random,
): MembershipStep => {
  if (now < state.nextProbeAt) {
    return { state, actions: [] };
  }
  const kept = dropExpiredGone(state, now);
  const { gone } = memberIndexOf(kept);
  const member = gone[Math.floor(random() * gone.length)]?.member;
  return {
    state: { ...kept, nextProbeAt: now + meanProbeIntervalMs * (0.5 + random()) },
    actions: member === undefined ? [] : [{ kind: 'probe', member }],
  };
};

/**
 * After a freeze the node does not know what has changed, so it raises its incarnation and rejoins.
 * All neighbours count as just heard from, as their silence may be due to the freeze.
 */
export const detectFreeze = (state: MembershipState, now: Milliseconds): MembershipStep => {
  const gapMs = now - state.lastEventAt;
  const active = { ...state, lastEventAt: now };
  if (gapMs <= freezeThresholdMs) {
    return { state: active, actions: [] };
  }
  const lastHeartbeatAt = Object.fromEntries(state.neighbours.map((id) => [id, now]));
  const self = { ...state.self, incarnation: state.self.incarnation + 1 };
  const rejoined = applyAndFlood(
    { ...active, lastHeartbeatAt, regionHeardAt: new Map() },
    [self],
    now,
  );
  return { state: rejoined.state, actions: [{ kind: 'frozen', gapMs }, ...rejoined.actions] };
};
