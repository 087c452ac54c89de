import type { Instant } from './instant.js';
import type { HoldingDraft } from './holding-draft.js';
import type { HoldingEvent, HoldingSettings, StoredHolder } from './holding-state.js';

const renewalsPerLease = 3;
/** Renewals that failed are tried again after this share of the TTL. */
const leaseRetryShare = 0.1;
const storeRetryMs = 500;
/** Calls in a row that don't reach the platform, after which another node is to try. */
const maxFailures = 3;
/** TTLs for which a node that gave a subject up leaves it to others. */
const retreatLeases = 4;

type EventOf<Kind extends HoldingEvent['kind']> = Extract<HoldingEvent, { kind: Kind }>;

const isOwn = (settings: HoldingSettings, holder: StoredHolder): boolean =>
  holder.node === settings.node && holder.incarnation === settings.incarnation;

const onEra = (draft: HoldingDraft, era: number, now: Instant): void => {
  const known = draft.state().era;
  if (known !== undefined && era <= known) {
    return;
  }
  draft.update({ era, eraSinceMs: now.monotonicMs });
  if (known !== undefined) {
    // Leases of an earlier era have ended.
    draft.dropLease('store restored');
  }
};

const onStored = (
  draft: HoldingDraft,
  settings: HoldingSettings,
  { subject, holder, revision }: EventOf<'stored'>,
  now: Instant,
): void => {
  const { token, claim } = draft.subject(subject);
  if (token !== undefined && revision <= token) {
    return;
  }
  if (holder === undefined) {
    draft.change(subject, { isTaken: false, freeSinceMs: now.monotonicMs });
    draft.lose(subject, 'key removed');
    return;
  }
  draft.change(subject, { isTaken: true });
  draft.lose(subject, 'another holder');
  if (!isOwn(settings, holder)) {
    return;
  }
  if (holder.claim === claim?.id) {
    draft.gain(subject, revision);
  } else {
    draft.release(subject, revision);
  }
};

const onLeaseGranted = (
  draft: HoldingDraft,
  settings: HoldingSettings,
  { lease, sentAt }: EventOf<'lease-granted'>,
  now: Instant,
): void => {
  draft.dropLease('lease replaced');
  const renewalDueMs = sentAt.monotonicMs + settings.leaseMs / renewalsPerLease;
  draft.update({
    lease: { id: lease, renewedAt: sentAt, renewalDueMs },
    isLeaseCallInFlight: false,
  });
  draft.wakeAt(now.monotonicMs);
};

const onLeaseRenewed = (
  draft: HoldingDraft,
  settings: HoldingSettings,
  { lease, sentAt }: EventOf<'lease-renewed'>,
): void => {
  draft.update({ isLeaseCallInFlight: false });
  if (draft.state().lease?.id === lease) {
    const renewalDueMs = sentAt.monotonicMs + settings.leaseMs / renewalsPerLease;
    draft.update({ lease: { id: lease, renewedAt: sentAt, renewalDueMs } });
  }
};

const onLeaseCallFailed = (draft: HoldingDraft, settings: HoldingSettings, now: Instant): void => {
  const retryAtMs = now.monotonicMs + settings.leaseMs * leaseRetryShare;
  const { lease } = draft.state();
  draft.update({
    isLeaseCallInFlight: false,
    leaseRetryAtMs: now.monotonicMs + settings.leaseMs,
    ...(lease === undefined ? {} : { lease: { ...lease, renewalDueMs: retryAtMs } }),
  });
};

const onClaimed = (
  draft: HoldingDraft,
  { subject, claim, outcome, revision }: EventOf<'claimed'>,
  now: Instant,
): void => {
  const held = draft.subject(subject);
  if (held.claim?.id !== claim) {
    // The mirror may have shown the key before the reply came.
    if (outcome === 'done' && revision !== held.token) {
      draft.release(subject, revision);
    }
    return;
  }
  const retryAtMs = now.monotonicMs + storeRetryMs;
  switch (outcome) {
    case 'done':
      draft.gain(subject, revision);
      return;
    case 'lease-ended':
      draft.dropLease('lease ended');
      draft.update({ leaseRetryAtMs: retryAtMs });
      return;
    case 'not-done':
      draft.change(subject, { claim: { id: claim, isInFlight: false, retryAtMs } });
      return;
    case 'conflict':
    case 'unknown':
      // A conflict may be with an earlier attempt of this claim whose reply was lost.
      draft.act({ kind: 'read-back', subject, claim });
  }
};

const onReadBack = (
  draft: HoldingDraft,
  settings: HoldingSettings,
  { subject, claim, holder, revision }: EventOf<'read-back'>,
  now: Instant,
): void => {
  if (draft.subject(subject).claim?.id !== claim) {
    return;
  }
  if (holder !== undefined && isOwn(settings, holder) && holder.claim === claim) {
    draft.gain(subject, revision);
    return;
  }
  // The write may still be applied: the claim stays known until its lease ends.
  const retryAtMs = now.monotonicMs + (holder === undefined ? storeRetryMs : settings.leaseMs);
  draft.change(subject, { claim: { id: claim, isInFlight: false, retryAtMs } });
};

const onActed = (
  draft: HoldingDraft,
  settings: HoldingSettings,
  { subject, outcome }: EventOf<'acted'>,
  now: Instant,
): void => {
  const { token, failures, actingUntilMs } = draft.subject(subject);
  const isFailure = outcome === 'unknown' || outcome === 'not-sent';
  draft.change(subject, {
    failures: isFailure ? failures + 1 : 0,
    actingUntilMs: Math.min(actingUntilMs, now.monotonicMs),
  });
  if (token !== undefined && isFailure && failures + 1 >= maxFailures) {
    draft.lose(subject, 'platform out of reach');
    draft.change(subject, {
      claimNotBeforeMs: now.monotonicMs + retreatLeases * settings.leaseMs,
    });
    draft.release(subject, token);
  }
};

const onReleased = (
  draft: HoldingDraft,
  { subject, outcome }: EventOf<'released'>,
  now: Instant,
): void => {
  const { release, releasedToken } = draft.subject(subject);
  if (release === undefined) {
    return;
  }
  const isOver = outcome === 'done' || outcome === 'conflict' || outcome === 'lease-ended';
  if (isOver) {
    draft.endRelease(subject, Math.max(releasedToken, release.token));
  } else {
    const retryAtMs = now.monotonicMs + storeRetryMs;
    draft.change(subject, { release: { ...release, isInFlight: false, retryAtMs } });
  }
};

const withdraw = (draft: HoldingDraft, subject: string): void => {
  const { token } = draft.subject(subject);
  draft.change(subject, { offered: false });
  if (token !== undefined) {
    draft.lose(subject, 'withdrawn');
    draft.release(subject, token);
  }
};

const leaveAll = (draft: HoldingDraft): void => {
  draft.update({ isLeaving: true });
  for (const subject of draft.subjects()) {
    draft.lose(subject, 'leaving');
  }
};

/** Applies what an event says, without what follows from the time. */
export const applyHoldingEvent = (
  draft: HoldingDraft,
  settings: HoldingSettings,
  event: HoldingEvent,
  now: Instant,
): void => {
  switch (event.kind) {
    case 'offer':
      draft.change(event.subject, { offered: true });
      return;
    case 'withdraw':
      withdraw(draft, event.subject);
      return;
    case 'era':
      onEra(draft, event.era, now);
      return;
    case 'stored':
      onStored(draft, settings, event, now);
      return;
    case 'lease-granted':
      onLeaseGranted(draft, settings, event, now);
      return;
    case 'lease-renewed':
      onLeaseRenewed(draft, settings, event);
      return;
    case 'lease-ended':
      draft.update({ isLeaseCallInFlight: false });
      if (draft.state().lease?.id === event.lease) {
        draft.dropLease('lease ended');
      }
      return;
    case 'lease-call-failed':
      onLeaseCallFailed(draft, settings, now);
      return;
    case 'claimed':
      onClaimed(draft, event, now);
      return;
    case 'read-back':
      onReadBack(draft, settings, event, now);
      return;
    case 'read-back-failed':
      if (draft.subject(event.subject).claim?.id === event.claim) {
        const retryAtMs = now.monotonicMs + storeRetryMs;
        draft.change(event.subject, { claim: { id: event.claim, isInFlight: false, retryAtMs } });
      }
      return;
    case 'released':
      onReleased(draft, event, now);
      return;
    case 'acting':
      draft.change(event.subject, { actingUntilMs: now.monotonicMs + event.callMs });
      return;
    case 'acted':
      onActed(draft, settings, event, now);
      return;
    case 'wake':
      return;
    case 'leave':
      leaveAll(draft);
  }
};
