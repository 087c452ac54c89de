import { longestElapsedMs, type Instant } from './instant.js';
import { applyHoldingEvent } from './holding-events.js';
import { HoldingDraft } from './holding-draft.js';
import type {
  HeldSubject,
  HoldingAction,
  HoldingEvent,
  HoldingSettings,
  HoldingState,
} from './holding-state.js';

/**
 * Delay between the claims of nodes that follow each other in order: a claim reaches all nodes within
 * the answer time of the store, a watch and two links.
 */
const claimStepMs = 400;
/** Renewals within the TTL of a lease. */
const renewalsPerLease = 3;
/** A claim under an older lease might have too little time left to act. */
const maxLeaseShareAtClaim = 0.5;
/** Part of the TTL for which a lease is not used: the clocks of VMs run at slightly different rates. */
const leaseMarginShare = 0.03;
/** A subject that can't be claimed now, because the store is away, is looked at again after this. */
const unclaimableRetryMs = 2000;

export interface HoldingStep {
  readonly state: HoldingState;
  readonly actions: readonly HoldingAction[];
}

const leaseLeftMs = (settings: HoldingSettings, state: HoldingState, now: Instant): number =>
  state.lease === undefined
    ? 0
    : settings.leaseMs * (1 - leaseMarginShare) - longestElapsedMs(state.lease.renewedAt, now);

const claimDueAtMs = (
  settings: HoldingSettings,
  state: HoldingState,
  held: HeldSubject,
  rank: number,
): number =>
  Math.max(
    held.freeSinceMs,
    held.claimNotBeforeMs,
    // An earlier process of this node may have acted just before this one started.
    state.startedAtMs + settings.leaseMs,
    // A holder from before a restore of the store acts until its own lease time is over.
    state.eraSinceMs + settings.leaseMs,
  ) +
  rank * claimStepMs;

const isClaimable = (state: HoldingState, held: HeldSubject): boolean =>
  held.offered &&
  !held.isTaken &&
  held.token === undefined &&
  held.claim?.isInFlight !== true &&
  held.release === undefined &&
  !state.isLeaving &&
  state.era !== undefined;

const claimFreeSubjects = (
  draft: HoldingDraft,
  settings: HoldingSettings,
  ranks: ReadonlyMap<string, number> | undefined,
  now: Instant,
): void => {
  for (const subject of draft.subjects()) {
    const held = draft.subject(subject);
    if (!isClaimable(draft.state(), held)) {
      continue;
    }
    const rank = ranks?.get(subject);
    if (rank === undefined) {
      draft.wakeAt(now.monotonicMs + (ranks === undefined ? 0 : unclaimableRetryMs));
      continue;
    }
    const dueAtMs = Math.max(
      claimDueAtMs(settings, draft.state(), held, rank),
      held.claim?.retryAtMs ?? 0,
    );
    if (now.monotonicMs < dueAtMs) {
      draft.wakeAt(dueAtMs);
      continue;
    }
    const { isLeaseCallInFlight, leaseRetryAtMs } = draft.state();
    if (isLeaseCallInFlight) {
      continue;
    }
    const isFresh =
      leaseLeftMs(settings, draft.state(), now) > settings.leaseMs * maxLeaseShareAtClaim;
    if (isFresh) {
      draft.claim(subject);
    } else if (draft.holdsAny()) {
      // The renewal that is due soon is waited for.
      draft.wakeAt(now.monotonicMs + settings.leaseMs / renewalsPerLease);
    } else if (now.monotonicMs < leaseRetryAtMs) {
      draft.wakeAt(leaseRetryAtMs);
    } else {
      draft.grantLease();
    }
  }
};

const renewLease = (draft: HoldingDraft, settings: HoldingSettings, now: Instant): void => {
  const { lease, isLeaseCallInFlight } = draft.state();
  if (lease === undefined || !draft.holdsAny()) {
    return;
  }
  draft.wakeAt(now.monotonicMs + leaseLeftMs(settings, draft.state(), now));
  if (isLeaseCallInFlight) {
    return;
  }
  if (now.monotonicMs >= lease.renewalDueMs) {
    draft.renewLease(lease);
  } else {
    draft.wakeAt(lease.renewalDueMs);
  }
};

const releaseSubjects = (draft: HoldingDraft, now: Instant): void => {
  for (const subject of draft.subjects()) {
    const { release, actingUntilMs } = draft.subject(subject);
    if (release === undefined || release.isInFlight) {
      continue;
    }
    const dueAtMs = Math.max(actingUntilMs, release.retryAtMs);
    if (now.monotonicMs < dueAtMs) {
      draft.wakeAt(dueAtMs);
    } else {
      draft.change(subject, { release: { ...release, isInFlight: true } });
      draft.act({ kind: 'release', subject, token: release.token });
    }
  }
};

/** Ends the lease, and with it all keys, as soon as no call is in flight. */
const leave = (draft: HoldingDraft, now: Instant): void => {
  const { lease } = draft.state();
  if (lease === undefined) {
    return;
  }
  const actingUntilMs = Math.max(
    ...draft.subjects().map((subject) => draft.subject(subject).actingUntilMs),
  );
  if (now.monotonicMs < actingUntilMs) {
    draft.wakeAt(actingUntilMs);
  } else {
    draft.act({ kind: 'revoke-lease', lease: lease.id });
    draft.dropLease('leaving');
  }
};

/** Decides which subjects a node holds, and when it may act for them. */
export const Holding = {
  create: (now: Instant): HoldingState => ({
    startedAtMs: now.monotonicMs,
    eraSinceMs: now.monotonicMs,
    isLeaseCallInFlight: false,
    leaseRetryAtMs: now.monotonicMs,
    claimCount: 0,
    isLeaving: false,
    subjects: new Map(),
  }),
  step: (
    settings: HoldingSettings,
    state: HoldingState,
    event: HoldingEvent,
    now: Instant,
  ): HoldingStep => {
    const draft = HoldingDraft.create(settings, state);
    applyHoldingEvent(draft, settings, event, now);
    if (draft.state().lease !== undefined && leaseLeftMs(settings, draft.state(), now) <= 0) {
      draft.dropLease('lease lapsed');
    }
    if (draft.state().isLeaving) {
      leave(draft, now);
    } else {
      releaseSubjects(draft, now);
      claimFreeSubjects(draft, settings, event.kind === 'wake' ? event.ranks : undefined, now);
      renewLease(draft, settings, now);
    }
    return { state: draft.state(), actions: draft.actions() };
  },
  /** Subjects whose rank decides when this node claims them. */
  claimableSubjects: (state: HoldingState): readonly string[] =>
    [...state.subjects].filter(([, held]) => isClaimable(state, held)).map(([name]) => name),
  /** The token under which this node may send a call now that ends within `callMs`. */
  tokenFor: (
    settings: HoldingSettings,
    state: HoldingState,
    subject: string,
    callMs: number,
    now: Instant,
  ): number | undefined => {
    const token = state.subjects.get(subject)?.token;
    const isTimeLeft =
      leaseLeftMs(settings, state, now) > callMs &&
      // The store may have been restored, unnoticed, after another holder's last renewal.
      now.monotonicMs >= state.eraSinceMs + settings.leaseMs;
    return isTimeLeft && !state.isLeaving ? token : undefined;
  },
};
