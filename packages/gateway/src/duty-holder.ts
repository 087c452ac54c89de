import type { Clock } from '@zinniagrade/clock';
import {
  Holding,
  type ActOutcome,
  type HoldingAction,
  type HoldingEvent,
  type HoldingSettings,
  type Instant,
} from '@zinniagrade/duties';
import type { ClusterState } from './cluster-state.js';
import type { DutyMetrics } from './duty-metrics.js';
import { DutyStoreCalls, type DutyStoreOptions } from './duty-store-calls.js';
import type { Log } from './log.js';
import { Revision, type LeaseId, type MetadataStore } from './metadata-store.js';

/** Right of this node to act for a subject. */
export interface DutyGrant {
  /** Fencing token, which increases when the holder changes. */
  readonly token: number;
  /** Whether the grant certainly lasts longer than a call that may take `callMs`. */
  readonly mayAct: (callMs: number) => boolean;
}

/** Holds subjects, each of which one node at a time acts for. */
export interface DutyHolder {
  /** Takes part in holding this subject from now on. */
  readonly offer: (subject: string) => void;
  readonly withdraw: (subject: string) => void;
  /** The grant of this node, undefined while another node or none holds the subject. */
  readonly grantOf: (subject: string) => DutyGrant | undefined;
  /** Called when this node gains or loses a subject. */
  readonly onChange: (listener: (subject: string) => void) => void;
  readonly shutDown: () => Promise<void>;
}

/**
 * `refused`: the platform did not take the call; `unknown`: it may have taken it; `not-sent`: no
 * part of the call has left this node.
 */
export type DutyOutcome = 'done' | 'refused' | 'unknown' | 'not-sent';

/** Sends the calls of duties to the platform. */
export interface DutyClient {
  readonly reportUsage: (
    grant: DutyGrant,
    window: number,
    counts: ReadonlyMap<string, number>,
  ) => Promise<DutyOutcome>;
  readonly orderUpstreams: (
    grant: DutyGrant,
    order: { readonly service: string; readonly dataCentre: string; readonly count: number },
  ) => Promise<DutyOutcome>;
  readonly close: () => void;
}

export interface DutyHolderOptions extends DutyStoreOptions {
  /** How many nodes claim a subject before this one; undefined if this one can't claim it now. */
  readonly rankOf: (subject: string) => number | undefined;
  /** Latest known revision of the store; undefined until the store was read. */
  readonly storeRevision: () => Revision | undefined;
}

/** A holder whose acts are reported to it. */
export interface RecordingDutyHolder extends DutyHolder {
  /** To be called with the outcome of each call for a subject. */
  readonly recordAct: (subject: string, outcome: ActOutcome) => void;
}

/** Interval at which a node looks whether the store was read, at its start. */
const startCheckMs = 250;
const shutdownCheckMs = 20;
const shutdownTimeoutMs = 2000;

export const DutyHolder = {
  create: (
    store: MetadataStore,
    clock: Clock,
    log: Log,
    metrics: DutyMetrics,
    cluster: ClusterState,
    options: DutyHolderOptions,
  ): RecordingDutyHolder => {
    const calls = DutyStoreCalls.create(store, options);
    const settings: HoldingSettings = {
      node: options.node,
      incarnation: options.incarnation,
      leaseMs: options.leaseMs,
    };
    const listeners: ((subject: string) => void)[] = [];
    const grants = new Map<string, DutyGrant>();
    const now = (): Instant => ({ monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() });
    let state = Holding.create(now());
    let cancelWake = (): void => undefined;
    let leasesEnding = 0;

    const currentEra = (): number | undefined => {
      const revision = options.storeRevision();
      return revision === undefined ? undefined : Revision.eraOf(revision);
    };

    const apply = (event: HoldingEvent): void => {
      const step = Holding.step(settings, state, event, now());
      state = step.state;
      cancelWake();
      for (const action of step.actions) {
        carryOut(action);
      }
    };

    const observeEra = (era: number | undefined): void => {
      if (era !== undefined && era > (state.era ?? -1)) {
        apply({ kind: 'era', era });
      }
    };

    const dispatch = (event: HoldingEvent): void => {
      observeEra(currentEra());
      if (event.kind === 'claimed' || event.kind === 'read-back') {
        // The store was restored before it replied; this node's mirror may not know that yet.
        observeEra(Revision.eraOf(event.revision));
      }
      if (event.kind === 'claimed' && event.outcome !== 'done') {
        log.event('duty claim', { subject: event.subject, outcome: event.outcome });
      }
      apply(event);
    };

    const wake = (): void => {
      const ranks = new Map<string, number>();
      for (const subject of Holding.claimableSubjects(state)) {
        const rank = options.rankOf(subject);
        if (rank !== undefined) {
          ranks.set(subject, rank);
        }
      }
      dispatch({ kind: 'wake', ranks });
    };

    const revokeLease = async (lease: LeaseId): Promise<void> => {
      leasesEnding += 1;
      try {
        await store.revokeLease(lease);
      } catch (error) {
        log.event('duty store call failed', { reason: String(error) });
      } finally {
        leasesEnding -= 1;
      }
    };

    /** Whatever a call to the store throws counts as a lost reply. */
    const settle = (call: Promise<HoldingEvent>, failure: HoldingEvent): void => {
      call.then(dispatch, (error: unknown) => {
        log.event('duty store call failed', { reason: String(error) });
        dispatch(failure);
      });
    };

    const notify = (subject: string): void => {
      for (const listener of listeners) {
        listener(subject);
      }
    };

    const carryOut = (action: HoldingAction): void => {
      switch (action.kind) {
        case 'wake-at':
          cancelWake = clock.after(Math.max(0, action.atMs - clock.monotonicMs()), wake);
          return;
        case 'grant-lease':
          settle(calls.grantLease(now()), { kind: 'lease-call-failed' });
          return;
        case 'renew-lease':
          settle(calls.renewLease(action.lease, now()), { kind: 'lease-call-failed' });
          return;
        case 'revoke-lease':
          void revokeLease(action.lease);
          return;
        case 'claim': {
          const { subject, claim, lease } = action;
          const lost = {
            kind: 'claimed',
            subject,
            claim,
            outcome: 'unknown',
            revision: 0,
          } as const;
          settle(calls.claim(subject, claim, lease), lost);
          return;
        }
        case 'read-back': {
          const { subject, claim } = action;
          settle(calls.readBack(subject, claim), { kind: 'read-back-failed', subject, claim });
          return;
        }
        case 'release': {
          const { subject, token } = action;
          settle(calls.release(subject, token), { kind: 'released', subject, outcome: 'unknown' });
          return;
        }
        case 'gained': {
          const { subject, token } = action;
          log.event('duty gained', { subject, token });
          metrics.recordChange(subject, 'gained');
          grants.set(subject, createGrant(subject, token));
          notify(subject);
          return;
        }
        case 'lost': {
          const { subject, token, reason } = action;
          log.event('duty lost', { subject, token, reason });
          metrics.recordChange(subject, 'lost');
          grants.delete(subject);
          notify(subject);
        }
      }
    };

    const tokenFor = (subject: string, callMs: number): number | undefined =>
      Holding.tokenFor(settings, state, subject, callMs, now());

    const createGrant = (subject: string, token: number): DutyGrant => ({
      token,
      mayAct: (callMs) => {
        observeEra(currentEra());
        if (tokenFor(subject, callMs) !== token) {
          return false;
        }
        dispatch({ kind: 'acting', subject, callMs });
        return tokenFor(subject, callMs) === token;
      },
    });

    const applyStored = (subject: string): void => {
      const stored = cluster.dutyHolders.get(subject);
      if (stored !== undefined) {
        dispatch({ kind: 'stored', subject, holder: stored.holder, revision: stored.revision });
      }
    };

    cluster.onChange((change) => {
      if (change.kind === 'duty-holder') {
        applyStored(change.subject);
      }
    });
    const stopStartChecks = clock.every(startCheckMs, () => {
      if (currentEra() !== undefined) {
        stopStartChecks();
        wake();
      }
    });

    return {
      offer: (subject) => {
        applyStored(subject);
        dispatch({ kind: 'offer', subject });
      },
      withdraw: (subject) => {
        dispatch({ kind: 'withdraw', subject });
      },
      grantOf: (subject) => grants.get(subject),
      onChange: (listener) => {
        listeners.push(listener);
      },
      recordAct: (subject, outcome) => {
        dispatch({ kind: 'acted', subject, outcome });
      },
      shutDown: async () => {
        stopStartChecks();
        dispatch({ kind: 'leave' });
        const endMs = clock.monotonicMs() + shutdownTimeoutMs;
        while ((state.lease !== undefined || leasesEnding > 0) && clock.monotonicMs() < endMs) {
          await new Promise<void>((resolve) => {
            clock.after(shutdownCheckMs, resolve);
          });
        }
        cancelWake();
      },
    };
  },
};
